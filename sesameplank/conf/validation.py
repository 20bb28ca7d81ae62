"""Validation of configuration documents, the same in every process."""

import msgspec

from ..decoding import decode_json
from ..exceptions import ConfigurationError, MalformedDocumentError
from .documents import Configuration
from .rules import DocumentFault, find_faults


def list_faults(document: bytes) -> list[DocumentFault]:
    """Return the faults of a document: those of its structure, or else of its content.

    The structure is checked against the JSON schema of `Configuration`. The
    content is checked against the module `rules` only if the structure is valid.
    """
    try:
        value = decode_json(document)
    except MalformedDocumentError as error:
        return [DocumentFault("$", f"not JSON: {error}", "correct the syntax")]
    import jsonschema  # Only this check needs it, and importing it takes 3 MB.

    schema = msgspec.json.schema(Configuration)
    faults = [
        DocumentFault(fault.json_path, fault.message, "correct the field; see docs/ref")
        for fault in jsonschema.Draft202012Validator(schema).iter_errors(value)
    ]
    if faults:
        return faults
    try:
        return find_faults(decode_json(document, Configuration))
    except MalformedDocumentError as error:
        return [DocumentFault("$", str(error), "correct the field; see docs/ref")]


def decode_configuration(document: bytes | msgspec.Raw) -> Configuration:
    """Return the decoded and validated document, or raise ConfigurationError.

    The error message contains the path of the first fault.
    """
    try:
        configuration = decode_json(document, Configuration)
    except MalformedDocumentError as error:
        raise ConfigurationError(
            f"the configuration document is refused: {error}; correct that field "
            "and publish again"
        ) from error
    faults = find_faults(configuration)
    if faults:
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        raise ConfigurationError(
            f"the configuration document is refused: {faults[0]}{more}"
        )
    return configuration
