"""What bounds the memory that connections of an instance take."""

from typing import final

import attrs

from masticstage.edges.callbacks import Callback
from masticstage.edges.memory_budget import MemoryBudget, budget_bytes
from masticstage.edges.receive_buffers import ReceiveBuffers


@final
@attrs.frozen
class InstanceMemory:
    """The budget for bytes of requests and answers, the room for buffers."""

    budget: MemoryBudget
    buffers: ReceiveBuffers

    @classmethod
    def within(
        cls, memory_mb: float, on_eviction: Callback
    ) -> 'InstanceMemory':
        """Returns the bounds of an instance with this memory."""
        return cls(
            MemoryBudget(budget_bytes(memory_mb), on_eviction),
            ReceiveBuffers.within(memory_mb),
        )
