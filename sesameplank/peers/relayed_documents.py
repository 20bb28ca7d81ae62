"""The documents that peers relay, each with its store and its encoding."""

from abc import ABC, abstractmethod

import msgspec

from ..conf import PublishedConfiguration, PublishedVms
from ..core.common.clock import Clock
from ..core.membership.peer_messages import DocumentKind
from ..core.published.confirmations import Confirmation
from ..core.published.document_version import DocumentVersion
from ..core.published.target_table import TargetChanges, TargetTable
from ..core.published.versions import ConfigurationStore, OfferResult, VmStore
from ..decoding import decode_json, decode_msgpack
from ..exceptions import MalformedDocumentError


class RelayedDocument(ABC):
    """A kind of document that peers relay."""

    @property
    @abstractmethod
    def version(self) -> DocumentVersion:
        """The version that this process has; its number is 0 if there is none."""

    def note_offered(self, version: DocumentVersion) -> None:
        """Record that a peer has a version; by default, do nothing."""
        return

    @abstractmethod
    def encode(self, after: DocumentVersion) -> bytes:
        """Return the encoded document for a peer that has the version `after`."""

    @abstractmethod
    def offer(self, payload: bytes) -> OfferResult:
        """Apply an encoded document that a peer sent, and return the result."""


class ConfigurationDocument(RelayedDocument):
    """The configuration in force."""

    def __init__(self, store: ConfigurationStore) -> None:
        self.store = store

    @property
    def version(self) -> DocumentVersion:
        """The version in force."""
        return DocumentVersion(number=self.store.version)

    def encode(self, after: DocumentVersion) -> bytes:
        """Return the configuration as it was published."""
        return msgspec.json.encode(self.store.current.published)

    def offer(self, payload: bytes) -> OfferResult:
        """Decode a published configuration and offer it to the store."""
        try:
            published = decode_json(payload, PublishedConfiguration)
        except MalformedDocumentError:
            return OfferResult.REFUSED
        return self.store.offer(published)


class RefusedDocument(ConfigurationDocument):
    """The newest refused configuration, relayed so that every entry can report it."""

    @property
    def version(self) -> DocumentVersion:
        """The refused version."""
        return DocumentVersion(number=self.store.refused_version)

    def encode(self, after: DocumentVersion) -> bytes:
        """Return the configuration as it was published."""
        return msgspec.json.encode(self.store.refused.published)


class VmDocument(RelayedDocument):
    """The list of VMs."""

    def __init__(self, vms: VmStore) -> None:
        self.vms = vms

    @property
    def version(self) -> DocumentVersion:
        """The version of the list."""
        return DocumentVersion(number=self.vms.version)

    @property
    def confirmation(self) -> Confirmation:
        """When the service last confirmed the list."""
        return self.vms.confirmation

    def encode(self, after: DocumentVersion) -> bytes:
        """Return the list as it was published."""
        return msgspec.json.encode(self.vms.current)

    def offer(self, payload: bytes) -> OfferResult:
        """Decode a list and offer it to the store."""
        try:
            return self.vms.offer(decode_json(payload, PublishedVms))
        except MalformedDocumentError:
            return OfferResult.REFUSED


class TargetsDocument(RelayedDocument):
    """The list of targets; only the changes that a peer lacks are sent."""

    def __init__(self, table: TargetTable, clock: Clock) -> None:
        self.table = table
        self.clock = clock

    @property
    def version(self) -> DocumentVersion:
        """The era and the revision of the list."""
        return self.table.version

    def note_offered(self, version: DocumentVersion) -> None:
        """Record the era, so that lists of earlier ones are refused from now on."""
        self.table.note_era(version.era)

    def encode(self, after: DocumentVersion) -> bytes:
        """Return the changes after a version."""
        return msgspec.msgpack.encode(self.table.get_changes(after))

    def offer(self, payload: bytes) -> OfferResult:
        """Apply the changes that a peer sent."""
        try:
            changes = decode_msgpack(payload, TargetChanges)
        except MalformedDocumentError:
            return OfferResult.REFUSED
        if self.table.apply(changes, self.clock.now(), source_was_unavailable=True):
            return OfferResult.ACCEPTED
        return OfferResult.OLDER


def make_entry_documents(
    store: ConfigurationStore, vms: VmStore
) -> dict[DocumentKind, RelayedDocument]:
    """Return the documents that an entry relays."""
    return {
        DocumentKind.CONFIG: ConfigurationDocument(store),
        DocumentKind.REFUSED: RefusedDocument(store),
        DocumentKind.VMS: VmDocument(vms),
    }


def make_front_documents(
    store: ConfigurationStore, table: TargetTable, clock: Clock
) -> dict[DocumentKind, RelayedDocument]:
    """Return the documents that a forwarding process relays."""
    return {
        DocumentKind.CONFIG: ConfigurationDocument(store),
        DocumentKind.REFUSED: RefusedDocument(store),
        DocumentKind.TARGETS: TargetsDocument(table, clock),
    }
