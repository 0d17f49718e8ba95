"""Runs operations through the reference caller and records the results."""

from collections.abc import Iterable
from itertools import pairwise
from random import Random
from time import monotonic

import attrs
import trio

from bench.deployments import Deployment
from bench.fleet import Fleet
from bench.history import History, Observation
from bench.workload import LOOK_UP, ONCE, Operation
from masticstage.caller import Caller, ModelAnswer
from masticstage.exceptions import MasticstageError
from masticstage.outcomes import Outcome


@attrs.define(eq=False)
class CallerPool:
    """One reference caller for each region."""

    deployment: Deployment
    callers: dict[str, Caller]
    observations: list[Observation] = attrs.field(factory=list)

    async def run(self, operations: Iterable[Operation]) -> None:
        """Runs operations at their times and waits for all of them."""
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for operation in operations:
                await trio.sleep_until(start_s + operation.at_s)
                nursery.start_soon(self.run_one, operation)

    async def run_one(self, operation: Operation) -> None:
        """Runs one operation and records the observation."""
        started_s = monotonic()
        try:
            observation = await self._send(operation)
        except MasticstageError as error:
            observation = Observation(operation, failure=str(error))
        self.observations.append(
            attrs.evolve(observation, started_s=started_s, ended_s=monotonic()),
        )

    async def close(self) -> None:
        """Closes the connections of all callers."""
        for caller in self.callers.values():
            await caller.close()

    async def _send(self, operation: Operation) -> Observation:
        caller = self.callers[operation.region]
        if operation.kind == LOOK_UP:
            claim = operation.body['claim']
            await caller.look_up(
                self.deployment.application,
                f'{self.deployment.lookup_path}?claim={claim}',
                operation.request_id,
                operation.timeout_s,
            )
            return Observation(operation, outcome=Outcome.RAN)
        if operation.kind == ONCE:
            call_result = await caller.run_once(
                self.deployment.application,
                self.deployment.call_path,
                operation.encode(),
                operation.request_id,
                operation.timeout_s,
            )
            return Observation(
                operation,
                outcome=call_result.outcome.outcome,
                body=call_result.outcome.answer.body
                if call_result.outcome.answer
                else b'',
                sealed_tickets=call_result.sealed_tickets,
            )
        answer = await caller.ask(
            operation.body,
            operation.kind,
            operation.request_id,
            operation.timeout_s,
        )
        return _observe_answer(operation, answer)


def create_pool(fleet: Fleet, random: Random) -> CallerPool:
    """Returns callers that each use the entry instances of their region."""
    deployment = fleet.deployment
    callers = {
        site.region: Caller(
            fleet.entry_urls(site.region),
            deployment.key_of(site.region),
            Random(random.random()),
        )
        for site in deployment.sites
    }
    return CallerPool(deployment, callers)


def collect_history(fleet: Fleet, pool: CallerPool) -> History:
    """Returns the records of callers, upstreams and instances together.

    Includes only records that were written since the last call, and only audit
    entries about the operations of the pool.
    """
    request_ids = {
        observation.operation.request_id for observation in pool.observations
    }
    return History(
        fleet.deployment,
        tuple(pool.observations),
        tuple(fleet.log_reader.read_new('*.jsonl')),
        tuple(
            line
            for line in fleet.log_reader.read_new('*.log')
            if line.get('audit') and line['subject'] in request_ids
        ),
    )


def _observe_answer(operation: Operation, answer: ModelAnswer) -> Observation:
    arrivals = answer.arrivals_s
    gaps = tuple(later - earlier for earlier, later in pairwise(arrivals))
    return Observation(
        operation,
        text=answer.text,
        stream_id=answer.stream_id,
        first_event_s=arrivals[0],
        resumes=answer.resumes,
        restarts=answer.restarts,
        longest_stall_s=max(gaps, default=0),
    )
