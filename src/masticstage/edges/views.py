"""What an instance knows of the fleet."""

from typing import final

import attrs

from masticstage.forwarding.budgets import RetryBudget
from masticstage.forwarding.choice import Chooser
from masticstage.forwarding.crashes.crash_causes import CrashCauses
from masticstage.forwarding.loads import LoadTable
from masticstage.forwarding.origins.known import Origins
from masticstage.forwarding.outage import OutageTracker
from masticstage.forwarding.overload import OverloadControl
from masticstage.forwarding.prefix_reports import PrefixReports
from masticstage.forwarding.record_cache import RecordCache
from masticstage.forwarding.view import FleetView
from masticstage.membership import MemberTable


@final
@attrs.frozen
class Views:
    """Known state of the fleet, and the objects that decide from it."""

    records: RecordCache
    fleet: FleetView
    outage: OutageTracker
    members: MemberTable
    loads: LoadTable
    chooser: Chooser
    crash_causes: CrashCauses
    retry_budget: RetryBudget
    overload: OverloadControl
    prefix_reports: PrefixReports
    origins: Origins
