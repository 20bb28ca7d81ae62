"""Tests of the splitting of JSON texts that the decoder refuses."""

import testtools

from sesameplank.exceptions import MalformedDocumentError
from sesameplank.platform.json_parts import read_text, split_members, split_parts

DEEP = b"[" * 100_000 + b"]" * 100_000


class SplitTests(testtools.TestCase):
    """Texts are split at their outermost commas only."""

    def test_parts(self):
        cases = (
            (b"[]", []),
            (b" [ 1 , [2,3],{} ] ", [b"1", b"[2,3]", b"{}"]),
            (rb'["a,]\"\\",2]', [rb'"a,]\"\\"', b"2"]),
            (b"[" + DEEP + b",1]", [DEEP, b"1"]),
            (b'["\xff\\ud800"]', [b'"\xff\\ud800"']),
        )
        for document, parts in cases:
            self.assertEqual(parts, split_parts(document), document[:40])

    def test_members(self):
        cases = (
            (b"{}", {}),
            (b'{"a" : 1,"b":{"a":2}}', {"a": b"1", "b": b'{"a":2}'}),
            (rb'{"a\"b":"c:d"}', {'a"b': b'"c:d"'}),
            (b'{"a":1,"a":2}', {"a": b"2"}),
        )
        for document, members in cases:
            self.assertEqual(members, split_members(document), document)

    def test_documents_without_an_end(self):
        for document in (b"", b"1", b"[", b'["]', b"[[]", b'{"a":[}', b"null", b"]"):
            self.assertRaises(MalformedDocumentError, split_parts, document)


class TextTests(testtools.TestCase):
    """Texts are read whatever their bytes."""

    def test_texts(self):
        cases = (
            (b'"a\\u0000"', "a\0"),
            (b'"a\xff"', "a\udcff"),
            (b'"\\ud800"', "\ud800"),
            (b'"a\n"', "a\n"),
        )
        for document, text in cases:
            self.assertEqual(text, read_text(document), document)

    def test_other_values(self):
        for document in (b"", b"1", b'"a', DEEP, b"9" * 5_000):
            self.assertRaises(MalformedDocumentError, read_text, document)
