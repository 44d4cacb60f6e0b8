"""Identifier types used throughout the workspace."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
BootId = NewType("BootId", str)
ServerId = NewType("ServerId", str)
ServiceName = NewType("ServiceName", str)
DataCentre = NewType("DataCentre", str)
Tenant = NewType("Tenant", str)
RequestClass = NewType("RequestClass", str)
Key = NewType("Key", str)
UnitId = NewType("UnitId", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Fingerprint = NewType("Fingerprint", str)
WriteId = NewType("WriteId", str)
OperatorName = NewType("OperatorName", str)
RowName = NewType("RowName", str)

Epoch = NewType("Epoch", int)
Term = NewType("Term", int)
AssignmentVersion = NewType("AssignmentVersion", int)
RulesVersion = NewType("RulesVersion", int)
