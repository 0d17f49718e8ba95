"""An instance with one deliberate defect, to test the checks of `bench.prove`.

Run as a program in place of `masticstage.instance_program`; the variant is
the first argument.
"""

import sys
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

from masticstage import instance_program, lifecycle, placement
from masticstage.configuration_schema import Kind, Team
from masticstage.exceptions import NotReadyError
from masticstage.instance import Instance
from masticstage.outcomes import NOT_RUN
from masticstage.rollout import Decision, Offer, Rollout
from masticstage.tickets import (
    OwnedTickets,
    TicketState,
    Verdict,
    WitnessAnswer,
    WitnessedTickets,
)
from masticstage.tokens import Ticket
from masticstage.upstream_table import UpstreamState

#: Time without a confirmation after which `need_peers` refuses requests.
_MAX_UNCONFIRMED_S: Final = 1.0


def _rerun_repeats() -> None:
    """Runs a call again whenever it is repeated."""

    def begin(tickets: OwnedTickets, ticket_id: str) -> bool:
        entry = tickets._entries[ticket_id]
        entry.state = TicketState.INTENDED
        return True

    _replace(OwnedTickets, 'begin', begin)


def _seal_what_is_held() -> None:
    """As a witness, seals every ticket, even one whose intent it holds."""

    def seal_or_report(_: WitnessedTickets, ticket: Ticket) -> WitnessAnswer:
        return WitnessAnswer(Verdict.SEALED, NOT_RUN)

    _replace(WitnessedTickets, 'seal_or_report', seal_or_report)


def _ignore_home() -> None:
    """Serves a request in any region, even if it is bound to its home."""

    def allowed(catalogue: Any, team: Team, kind: Kind) -> frozenset[str]:
        return frozenset(catalogue.region_of)

    _replace(placement, 'allowed_data_centres', allowed)


def _go_back() -> None:
    """Adopts any version that is offered, even an older one."""
    original = Rollout.offer

    def offer(rollout: Rollout, offered: Offer) -> Decision:
        rollout._catalogue = None
        return original(rollout, offered)

    _replace(Rollout, 'offer', offer)


def _keep_leaving() -> None:
    """Sends work to upstreams that are leaving."""
    _replace(UpstreamState, 'is_leaving', property(lambda _: False))


def _drain_hastily() -> None:
    """Stops without waiting for open requests."""
    _replace(lifecycle, '_has_open_requests', lambda _: False)


def _need_peers() -> None:
    """Serves only while peers or the platform confirm the configuration."""
    original = Instance.catalogue

    def catalogue(instance: Instance) -> Any:
        age_s = instance.views.rollout.age.total_seconds()
        if age_s > _MAX_UNCONFIRMED_S:
            raise NotReadyError
        return original(instance)

    _replace(Instance, 'catalogue', catalogue)


VARIANTS: Final = MappingProxyType[str, Callable[[], None]](
    {
        'rerun_repeats': _rerun_repeats,
        'seal_what_is_held': _seal_what_is_held,
        'ignore_home': _ignore_home,
        'go_back': _go_back,
        'keep_leaving': _keep_leaving,
        'drain_hastily': _drain_hastily,
        'need_peers': _need_peers,
    }
)


def _replace(owner: object, name: str, replacement: object) -> None:
    setattr(owner, name, replacement)


def main() -> None:
    """Installs one defect and runs the instance."""
    VARIANTS[sys.argv.pop(1)]()
    instance_program.main()


if __name__ == '__main__':
    main()
