"""What an instance believes, for operators and callers."""

from datetime import timedelta
from typing import Any, Final

from masticstage.audit import Entry
from masticstage.instance import Instance
from masticstage.membership import Member

#: Time for which a caller may use a list of entries.
ENTRIES_TTL_S: Final = 10
_ALL: Final = '*'
_OWN_WEIGHT: Final = 10
_OTHER_WEIGHT: Final = 1


def describe_entries(instance: Instance) -> dict[str, Any]:
    """Returns which instances a caller should use, in order."""
    return {
        'ttl_s': ENTRIES_TTL_S,
        'configuration_version': instance.version,
        'entries': [
            _describe_entry(instance, member) for member in instance.entries()
        ],
    }


def describe_instance(instance: Instance, subject: str) -> dict[str, Any]:
    """Returns the beliefs of an instance and the audit of one subject.

    The audit is empty without a subject; `*` stands for all subjects.
    """
    views = instance.views
    return {
        'instance': instance.identity.name,
        'incarnation': instance.identity.incarnation,
        'data_centre': instance.data_centre,
        'draining': instance.drain.is_draining,
        'configuration': {
            'version': views.rollout.version,
            'digest': views.rollout.digest.hex(),
            'age_s': _seconds(views.rollout.age),
        },
        'members': [_describe_member(one) for one in views.members.others()],
        'upstreams': [
            _describe_upstream(instance, name) for name in _names(instance)
        ],
        'limits': {
            'open_streams': instance.books.streams.total,
            'open_calls': instance.books.calls.total,
            'owned_tickets': len(instance.books.owner),
            'witnessed_tickets': len(instance.books.witness),
        },
        'quarantined': list(instance.books.quarantine.quarantined()),
        'audit': [
            _describe_audit(entry) for entry in _entries(instance, subject)
        ],
    }


def _describe_entry(instance: Instance, member: Member) -> dict[str, Any]:
    is_near = member.data_centre == instance.data_centre
    return {
        'instance': member.identity.name,
        'data_centre': member.data_centre,
        'region': member.region,
        'address': f'http://{member.caller_address}',
        'weight': _OWN_WEIGHT if is_near else _OTHER_WEIGHT,
    }


def _describe_member(member: Member) -> dict[str, Any]:
    return {
        'instance': member.identity.name,
        'incarnation': member.identity.incarnation,
        'data_centre': member.data_centre,
        'liveness': member.liveness.name.lower(),
        'heartbeat': member.heartbeat,
    }


def _names(instance: Instance) -> list[str]:
    catalogue = instance.views.rollout.catalogue
    if catalogue is None:
        return []
    return [
        upstream.name
        for upstream in catalogue.configuration.upstreams
        if upstream.data_centre == instance.data_centre
    ]


def _describe_upstream(instance: Instance, name: str) -> dict[str, Any]:
    state = instance.views.upstreams.state(name)
    age = instance.clock.elapsed() - state.received_at
    return {
        'upstream': name,
        'incarnation': state.report.incarnation,
        'leaving': state.is_leaving,
        'usable': instance.views.upstreams.is_usable(name),
        'backlog': instance.views.upstreams.backlog(name),
        'in_flight': state.in_flight,
        'report_age_s': _seconds(age),
    }


def _entries(instance: Instance, subject: str) -> tuple[Entry, ...]:
    if not subject:
        return ()
    return instance.audit.about('' if subject == _ALL else subject)


def _describe_audit(entry: Entry) -> dict[str, str]:
    return {
        'moment': entry.moment.isoformat(),
        'event': entry.event.value,
        'subject': entry.subject,
        'detail': entry.detail,
    }


def _seconds(duration: timedelta) -> float:
    return round(duration.total_seconds(), 3)
