"""Identifier types. They are distinct, so a type checker detects mix-ups."""

from typing import NewType

AttemptId = NewType("AttemptId", int)
CallerName = NewType("CallerName", str)
CollectionName = NewType("CollectionName", str)
ConfigVersion = NewType("ConfigVersion", int)
DataCentre = NewType("DataCentre", str)
EntryId = NewType("EntryId", str)
Fingerprint = NewType("Fingerprint", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Incarnation = NewType("Incarnation", int)
RecordKey = NewType("RecordKey", str)
RequestId = NewType("RequestId", str)
ShardId = NewType("ShardId", str)
ServiceName = NewType("ServiceName", str)
Snapshot = NewType("Snapshot", int)
TargetId = NewType("TargetId", str)
