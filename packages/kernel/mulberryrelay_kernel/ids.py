"""Identifier and version types, distinct so that mypy rejects a mix-up.

``BootId`` identifies one run of a process (its incarnation). ``Epoch`` is the fencing
token of a unit: it rises with each change of the unit's owner. ``Term`` numbers the
successive coordinators.
"""

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
ScheduleId = NewType("ScheduleId", str)

Epoch = NewType("Epoch", int)
Term = NewType("Term", int)
AssignmentVersion = NewType("AssignmentVersion", int)
RulesVersion = NewType("RulesVersion", int)
