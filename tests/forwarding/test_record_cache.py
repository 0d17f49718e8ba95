"""Tests of the cache of published records."""

from hypothesis import given
from hypothesis import strategies as st

from masticstage.forwarding.record_cache import (
    RecordCache,
    RecordEvent,
    RecordUpdates,
)

_EVENTS = st.lists(
    st.tuples(st.sampled_from('abc'), st.booleans()),
    max_size=12,
)


def _history(drawn):
    return [
        RecordEvent(key, number + 1, b'%d' % number if is_kept else None)
        for number, (key, is_kept) in enumerate(drawn)
    ]


def _records(cache):
    return {
        event.key: event.body
        for event in cache.updates_since(0).events
        if event.body is not None
    }


@given(_EVENTS, st.randoms())
def test_order_and_duplicates_of_events_make_no_difference(drawn, random):
    events = _history(drawn)
    in_order, shuffled = RecordCache(), RecordCache()
    in_order.apply(RecordUpdates(tuple(events), len(events), is_snapshot=False))
    random.shuffle(events)
    for event in events + events:
        shuffled.apply(
            RecordUpdates((event,), event.revision, is_snapshot=False),
        )

    assert _records(in_order) == _records(shuffled)


def test_an_older_record_never_replaces_a_newer_one():
    cache = RecordCache()
    cache.apply(
        RecordUpdates((RecordEvent('a', 5, b'new'),), 5, is_snapshot=False),
    )

    changed = cache.apply(
        RecordUpdates((RecordEvent('a', 4, b'old'),), 4, is_snapshot=True),
    )

    assert not changed
    assert _records(cache) == {'a': b'new'}
    assert cache.revision == 5


def test_a_snapshot_removes_records_that_it_does_not_list():
    cache = RecordCache()
    stored = (RecordEvent('a', 1, b'1'), RecordEvent('b', 2, b'2'))
    cache.apply(RecordUpdates(stored, 2, is_snapshot=False))

    changed = cache.apply(
        RecordUpdates((RecordEvent('b', 2, b'2'),), 3, is_snapshot=True),
    )

    assert changed == [RecordEvent('a', 3, None)]


def test_a_snapshot_keeps_newer_records():
    cache = RecordCache()
    cache.apply(
        RecordUpdates((RecordEvent('late', 9, b'9'),), 9, is_snapshot=False),
    )

    cache.apply(RecordUpdates((), 8, is_snapshot=True))

    assert _records(cache) == {'late': b'9'}


def test_a_peer_that_is_behind_receives_deletions():
    cache, peer = RecordCache(), RecordCache()
    first = RecordUpdates((RecordEvent('a', 1, b'1'),), 1, is_snapshot=False)
    cache.apply(first)
    peer.apply(first)
    cache.apply(
        RecordUpdates((RecordEvent('a', 2, None),), 2, is_snapshot=False),
    )

    peer.apply(cache.updates_since(peer.revision))

    assert not _records(peer)
    assert peer.revision == 2


def test_a_reader_behind_a_dropped_deletion_gets_a_snapshot():
    cache = RecordCache()
    for number in range(1, 2100):
        event = RecordEvent(f'k{number}', number, None)
        cache.apply(RecordUpdates((event,), number, is_snapshot=False))

    assert cache.updates_since(5).is_snapshot
    assert not cache.updates_since(2098).is_snapshot


def test_a_deletion_before_a_snapshot_reaches_a_peer_that_is_behind():
    behind, fresh = RecordCache(), RecordCache()
    behind.apply(
        RecordUpdates((RecordEvent('a', 1, b'1'),), 1, is_snapshot=True),
    )
    fresh.apply(RecordUpdates((), 2, is_snapshot=True))

    behind.apply(fresh.updates_since(behind.revision))

    assert not _records(behind)


def test_an_old_deletion_in_a_snapshot_does_not_keep_a_record():
    """Guards against removed records that live on after a peer's snapshot."""
    reader, peer = RecordCache(), RecordCache()
    # The record is written, deleted, written and deleted again.
    written = RecordEvent('op/config', 1, b'1')
    rewritten = RecordEvent('op/config', 3, b'3')
    peer.apply(RecordUpdates((written,), 1, is_snapshot=True))
    peer.apply(RecordUpdates((), 2, is_snapshot=True))
    reader.apply(RecordUpdates((rewritten,), 3, is_snapshot=True))
    peer.apply(RecordUpdates((), 4, is_snapshot=True))

    reader.apply(peer.updates_since(reader.revision))

    bodies = [event.body for event in reader.updates_since(0).events]
    assert bodies == [None]


def test_late_updates_do_not_restore_a_record_that_a_snapshot_lacked():
    """Guards against removed upstreams that return with a peer's late answer.

    Found by the state machine of rollbacks.
    """
    cache = RecordCache()
    cache.apply(RecordUpdates((), 7, is_snapshot=True))
    late = RecordEvent('a', 6, b'6')

    for is_snapshot in (True, False):
        updates = RecordUpdates((late,), 6, is_snapshot=is_snapshot)
        assert not cache.apply(updates)
    assert not _records(cache)


def _snapshot(era, *events):
    return RecordUpdates(events, 9, is_snapshot=True, era=era)


def test_lost_records_are_known_until_they_are_written_again():
    """Guards against a second rollback that hides what the first one lost."""
    cache = RecordCache()
    first, later = RecordEvent('a', 1, b'1'), RecordEvent('a', 8, b'8')
    other = RecordEvent('b', 9, b'9')
    cache.apply(_snapshot(0, later, other))
    assert not cache.lost_records()

    cache.apply(_snapshot(1, first))
    assert cache.lost_records() == (later, other)
    cache.apply(_snapshot(2, first))
    assert set(cache.lost_records()) == {later, other}

    again = (RecordEvent('a', 10, b'8'), RecordEvent('b', 11, None))
    cache.apply(RecordUpdates(again, 11, is_snapshot=False, era=2))
    assert not cache.lost_records()
