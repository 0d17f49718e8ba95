"""Only the package `platform` uses the platform's names.

`X-Request-Id` is allowed elsewhere: masticstage's own interface uses it too.
"""

import re
from pathlib import Path

import masticstage

_SOURCE = Path(masticstage.__file__).parent
_PLATFORM_NAMES = re.compile(
    r'x-(deadline-ms|prompt-prefix|token-counts|target-instance'
    r'|response-signature|server-load|not-executed|warmup-ms|kv-backup|hold)'
    r'|kv-(key|range|watch|from|move|fetch)|/-/(ready|resolve|report)'
    r'|SessionAffinity|GapTargetMs|AllowedRegions|TargetLatencyMs|MaxAttempts'
    r'|TrafficSplit|WarmupLeftMs|op/config|op/evacuate|PathPrefix',
    re.IGNORECASE,
)


def _names_in(path):
    return sorted(
        set(
            match.group()
            for match in _PLATFORM_NAMES.finditer(path.read_text())
        )
    )


def test_no_other_module_uses_the_platforms_names():
    strays = {
        str(path.relative_to(_SOURCE)): _names_in(path)
        for path in _SOURCE.rglob('*.py')
        if path.parent.name != 'platform' and _names_in(path)
    }
    assert not strays


def test_the_check_finds_the_names_in_their_own_module():
    assert _names_in(_SOURCE / 'platform' / 'names.py')
