"""The platform's words stand in its folder only.

`X-Request-Id` is left out: the product's own interface has always had it.
"""

import re
from pathlib import Path

import masticstage

_SOURCE = Path(masticstage.__file__).parent
_WORDS = re.compile(
    r'x-(deadline-ms|prompt-prefix|token-counts|target-instance'
    r'|response-signature|server-load|not-executed|warmup-ms|kv-backup|hold)'
    r'|kv-(key|range|watch|from|move|fetch)|/-/(ready|resolve|report)'
    r'|SessionAffinity|GapTargetMs|AllowedRegions|TargetLatencyMs|MaxAttempts'
    r'|TrafficSplit|WarmupLeftMs|op/config|op/evacuate|PathPrefix',
    re.IGNORECASE,
)


def _found_in(path):
    return sorted(
        set(match.group() for match in _WORDS.finditer(path.read_text()))
    )


def test_no_other_module_knows_the_platforms_words():
    strays = {
        str(path.relative_to(_SOURCE)): _found_in(path)
        for path in _SOURCE.rglob('*.py')
        if path.parent.name != 'platform' and _found_in(path)
    }
    assert not strays


def test_the_check_finds_them_where_they_belong():
    assert _found_in(_SOURCE / 'platform' / 'words.py')
