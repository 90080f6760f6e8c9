"""Identifier types shared by every module."""

from typing import NewType

HostId = NewType("HostId", str)
DataCentreId = NewType("DataCentreId", str)
CallerId = NewType("CallerId", str)
OrganisationId = NewType("OrganisationId", str)
KeyDigest = NewType("KeyDigest", str)
DatabaseId = NewType("DatabaseId", str)
ServerId = NewType("ServerId", str)
KindId = NewType("KindId", str)
SessionId = NewType("SessionId", str)
RequestId = NewType("RequestId", str)
TransactionId = NewType("TransactionId", str)
Fingerprint = NewType("Fingerprint", str)
PersonId = NewType("PersonId", str)
SignerId = NewType("SignerId", str)

Term = NewType("Term", int)
Position = NewType("Position", int)
OwnerEpoch = NewType("OwnerEpoch", int)
BundleVersion = NewType("BundleVersion", int)
GroupId = NewType("GroupId", str)
StoreRevision = NewType("StoreRevision", int)
StoreEra = NewType("StoreEra", int)
FencingToken = NewType("FencingToken", int)
ClientNumber = NewType("ClientNumber", int)
