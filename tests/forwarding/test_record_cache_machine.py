"""State machine: three caches of one store, with lost messages."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from masticstage.forwarding.record_cache import (
    RecordCache,
    RecordEvent,
    RecordUpdates,
)

_KEYS = st.sampled_from(['op/config', 'servers/a', 'servers/b'])
_INSTANCES = st.integers(0, 2)


class RecordCacheMachine(RuleBasedStateMachine):
    """Instances read from the store and from each other, in any order."""

    def __init__(self):
        """Starts with an empty store and empty caches."""
        super().__init__()
        self.history = []
        self.caches = [RecordCache() for _ in range(3)]
        self.highest_revisions = [0, 0, 0]

    @rule(key=_KEYS, is_kept=st.booleans())
    def write(self, key, is_kept):
        revision = len(self.history) + 1
        body = b'%d' % revision if is_kept else None
        self.history.append(RecordEvent(key, revision, body))

    @rule(number=_INSTANCES, limit=st.integers(0, 5))
    def watch(self, number, limit):
        """Receives the next events of a watch, possibly not all."""
        cache = self.caches[number]
        if cache.revision:
            end = cache.revision + limit
            missed = self.history[cache.revision : end]
            revision = missed[-1].revision if missed else cache.revision
            cache.apply(
                RecordUpdates(tuple(missed), revision, is_snapshot=False),
            )

    @rule(number=_INSTANCES)
    def read(self, number):
        """Reads a snapshot, as after a start or a lost history."""
        current = self._records_at(len(self.history)).values()
        listed = tuple(event for event in current if event.body is not None)
        updates = RecordUpdates(listed, len(self.history), is_snapshot=True)
        self.caches[number].apply(updates)

    @rule(number=_INSTANCES, peer=_INSTANCES)
    def fetch_from_peer(self, number, peer):
        updates = self.caches[peer].updates_since(self.caches[number].revision)
        if updates.revision > self.caches[number].revision:
            self.caches[number].apply(updates)

    @rule(number=_INSTANCES)
    def restart(self, number):
        self.caches[number] = RecordCache()
        self.highest_revisions[number] = 0

    @invariant()
    def each_cache_equals_the_store_at_its_revision(self):
        for cache in self.caches:
            cached = {
                event.key: event.body
                for event in cache.updates_since(0).events
                if event.body is not None
            }
            expected = self._records_at(cache.revision)
            assert cached == {
                key: event.body for key, event in expected.items() if event.body
            }

    @invariant()
    def no_revision_decreases(self):
        for number, cache in enumerate(self.caches):
            assert cache.revision >= self.highest_revisions[number]
            self.highest_revisions[number] = cache.revision

    def _records_at(self, revision):
        """Returns the last event of each key up to a revision."""
        return {event.key: event for event in self.history[:revision]}


TestRecordCache = RecordCacheMachine.TestCase
TestRecordCache.settings = settings(max_examples=80, stateful_step_count=40)
