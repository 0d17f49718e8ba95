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
        self.seen = [0, 0, 0]

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
        now = self._at(len(self.history)).values()
        listed = tuple(one for one in now if one.body is not None)
        updates = RecordUpdates(listed, len(self.history), is_snapshot=True)
        self.caches[number].apply(updates)

    @rule(number=_INSTANCES, peer=_INSTANCES)
    def ask_peer(self, number, peer):
        updates = self.caches[peer].updates_since(self.caches[number].revision)
        if updates.revision > self.caches[number].revision:
            self.caches[number].apply(updates)

    @rule(number=_INSTANCES)
    def restart(self, number):
        self.caches[number] = RecordCache()
        self.seen[number] = 0

    @invariant()
    def each_cache_equals_the_store_at_its_revision(self):
        for cache in self.caches:
            known = {
                one.key: one.body
                for one in cache.updates_since(0).events
                if one.body is not None
            }
            then = self._at(cache.revision)
            assert known == {
                key: one.body for key, one in then.items() if one.body
            }

    @invariant()
    def no_revision_decreases(self):
        for number, cache in enumerate(self.caches):
            assert cache.revision >= self.seen[number]
            self.seen[number] = cache.revision

    def _at(self, revision):
        """Returns the last event of each key up to a revision."""
        return {one.key: one for one in self.history[:revision]}


TestRecordCache = RecordCacheMachine.TestCase
TestRecordCache.settings = settings(max_examples=80, stateful_step_count=40)
