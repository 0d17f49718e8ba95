"""State of an instance as JSON documents, for operators and callers."""

from datetime import timedelta
from typing import Any, Final

from masticstage.audit import Entry
from masticstage.instance import Instance
from masticstage.membership import Member

#: Time after which a caller should fetch the list of entries again.
ENTRIES_TTL_S: Final = 10
_ALL_SUBJECTS: Final = '*'
#: Relative weights of entries in the same data centre and in others.
_LOCAL_WEIGHT: Final = 10
_REMOTE_WEIGHT: Final = 1


def describe_entries(instance: Instance) -> dict[str, Any]:
    """Returns the instances that a caller should use, preferred ones first."""
    return {
        'ttl_s': ENTRIES_TTL_S,
        'configuration_version': instance.configuration_version,
        'entries': [
            _describe_entry(instance, member) for member in instance.entries()
        ],
    }


def describe_instance(instance: Instance, subject: str) -> dict[str, Any]:
    """Returns the state of an instance and the audit trail of one subject.

    The audit trail is empty without a subject; `*` stands for all subjects.
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
        'members': [
            _describe_member(member) for member in views.members.others()
        ],
        'upstreams': [
            _describe_upstream(instance, name)
            for name in _local_upstream_names(instance)
        ],
        'limits': {
            'open_streams': instance.local_state.stream_admission.total,
            'open_calls': instance.local_state.call_admission.total,
            'owned_tickets': len(instance.local_state.owned_tickets),
            'witnessed_tickets': len(instance.local_state.witnessed_tickets),
        },
        'quarantined': list(instance.local_state.quarantine.quarantined()),
        'audit': [
            _describe_audit_entry(entry)
            for entry in _audit_entries(instance, subject)
        ],
    }


def _describe_entry(instance: Instance, member: Member) -> dict[str, Any]:
    is_local = member.data_centre == instance.data_centre
    return {
        'instance': member.identity.name,
        'data_centre': member.data_centre,
        'region': member.region,
        'address': f'http://{member.caller_address}',
        'weight': _LOCAL_WEIGHT if is_local else _REMOTE_WEIGHT,
    }


def _describe_member(member: Member) -> dict[str, Any]:
    return {
        'instance': member.identity.name,
        'incarnation': member.identity.incarnation,
        'data_centre': member.data_centre,
        'liveness': member.liveness.name.lower(),
        'heartbeat': member.heartbeat,
    }


def _local_upstream_names(instance: Instance) -> list[str]:
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


def _audit_entries(instance: Instance, subject: str) -> tuple[Entry, ...]:
    if not subject:
        return ()
    return instance.audit.entries_about(
        '' if subject == _ALL_SUBJECTS else subject
    )


def _describe_audit_entry(entry: Entry) -> dict[str, str]:
    return {
        'moment': entry.recorded_at.isoformat(),
        'event': entry.event.value,
        'subject': entry.subject,
        'detail': entry.detail,
    }


def _seconds(duration: timedelta) -> float:
    return round(duration.total_seconds(), 3)
