"""Several views of a store that is restored again and again, with cuts and restarts beside."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest

from sassafrastally.core import Clock, Kernel, KvEntry, KvEvent
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.server_registry import LAPSE_GRACE_S
from sassafrastally.proxy.store import Changes, Snapshot, StorePosition

from .test_cluster_state import REGISTRATION_EXPIRY_S, PlainDialect

VIEWS = 4
STEPS = 150
SEEDS_THAT_FAILED = (402, 427, 725)
SETTLE_S = REGISTRATION_EXPIRY_S + LAPSE_GRACE_S + 0.1


class Copy(NamedTuple):
    """State of the store at one moment."""

    revision: int
    entries: dict[str, KvEntry]
    history: list[KvEvent]


class ModelStore:
    """A store that can be restored; writers write again what is lost."""

    def __init__(self) -> None:
        self.epoch = 1
        self.state = Copy(0, {}, [])
        self.written: dict[str, bytes] = {}

    def write(self, key: str, value: bytes | None) -> None:
        """Let a writer write a record or remove it."""
        if value is None:
            self.written.pop(key, None)
        else:
            self.written[key] = value
        self._apply(key, value)

    def _apply(self, key: str, value: bytes | None) -> None:
        revision, entries, history = self.state
        entries = {name: entry for name, entry in entries.items() if name != key}
        if value is not None:
            entries[key] = KvEntry(key, value, revision + 1)
        event = KvEvent(key, value, revision + 1)
        self.state = Copy(revision + 1, entries, [*history, event])

    def restore(self, copy: Copy) -> None:
        """Lose what was written since a copy."""
        self.epoch += 1
        self.state = copy

    def write_again(self) -> None:
        """Let the writers write what a restore has lost."""
        for key in self.state.entries.keys() - self.written.keys():
            self._apply(key, None)
        for key, value in self.written.items():
            entry = self.state.entries.get(key)
            if entry is None or entry.value != value:
                self._apply(key, value)

    def snapshot(self) -> Snapshot:
        """Answer a full read."""
        position = StorePosition(self.epoch, self.state.revision)
        return Snapshot(tuple(self.state.entries.values()), position)

    def changes(self, after: StorePosition) -> Changes | None:
        """Answer a watch; ``None`` if it needs a full read."""
        if after.epoch != self.epoch or after.revision > self.state.revision:
            return None
        events = [event for event in self.state.history if event.mod_revision > after.revision]
        return Changes(tuple(events), StorePosition(self.epoch, self.state.revision))


class View:
    """The view of one entry, with what it must never unlearn."""

    def __init__(self) -> None:
        kernel = Kernel("vm", "dc", Clock(), seed=1)
        self.state = kernel.add(ClusterState(PlainDialect(), REGISTRATION_EXPIRY_S))
        self.is_cut = False
        self.version = 0
        self.known_draining: set[str] = set()

    def read(self, store: ModelStore) -> None:
        """Learn from the store."""
        changes = store.changes(self.state.position)
        if changes is None:
            snapshot = store.snapshot()
            if snapshot.position.epoch > self.state.position.epoch:
                self.state.servers.store_returned_s = self.state.kernel.clock.now_s()
            self.state.replace(snapshot, "store")
        else:
            self.state.apply(changes.events, changes.position, "store")

    def listen(self, peer: ClusterState) -> None:
        """Learn from a peer, as by a datagram and the call that follows."""
        servers = self.state.servers
        servers.store_returned_s = max(servers.store_returned_s, peer.servers.store_returned_s)
        servers.record_announced_draining(peer.servers.draining_to_announce(), "peer")
        is_newer = peer.configuration_version > self.state.configuration_version
        if peer.position > self.state.position or is_newer:
            delta = peer.delta_after(self.state.position)
            if delta.entries is None:
                self.state.apply(delta.events, delta.position, "peer")
            else:
                self.state.replace(Snapshot(delta.entries, delta.position), "peer")

    def check(self) -> None:
        """Check that nothing older has come back in force."""
        assert self.state.configuration_version >= self.version
        self.version = self.state.configuration_version
        servers = self.state.servers
        used = {server.server_id for server in servers.of_service("s")}
        assert not used & self.known_draining
        self.known_draining |= {one.server_id for one in servers.known() if one.is_draining}


class RandomRun:
    """Random changes, restores, cuts and restarts of a store and its views."""

    def __init__(self, seed: int, clock) -> None:
        self.random = random.Random(seed)
        self.clock = clock
        self.store = ModelStore()
        self.views = [View() for _ in range(VIEWS)]
        self.copy = self.store.state
        self.servers = 0
        self.version = 0
        self.draining: set[str] = set()

    def step(self) -> None:
        """Let one thing happen and check all views."""
        self.random.choice(
            [
                self.configure,
                self.register,
                self.drain,
                self.remove,
                self.take_copy,
                self.restore,
                self.store.write_again,
                self.cut,
                self.restart,
                self.wait,
                *[self.learn] * 8,
            ]
        )()
        for view in self.views:
            view.check()

    def configure(self) -> None:
        self.version += self.random.randint(1, 3)
        self.store.write("config", str(self.version).encode())

    def register(self) -> None:
        self.servers += 1
        self.store.write(f"servers/{self.servers}", b"false")

    def drain(self) -> None:
        server = self._some_server()
        if server is not None:
            self.draining.add(server)
            self.store.write(f"servers/{server}", b"true")

    def remove(self) -> None:
        server = self._some_server()
        if server is not None:
            self.store.write(f"servers/{server}", None)

    def take_copy(self) -> None:
        self.copy = self.store.state

    def restore(self) -> None:
        if self.copy.revision <= self.store.state.revision:
            self.store.restore(self.copy)

    def cut(self) -> None:
        view = self.random.choice(self.views)
        view.is_cut = not view.is_cut

    def restart(self) -> None:
        self.views[self.random.randrange(VIEWS)] = View()

    def wait(self) -> None:
        self.clock.jump(self.random.choice([0.1, 1.0, SETTLE_S]))

    def learn(self) -> None:
        view, peer = self.random.sample(self.views, 2)
        if not view.is_cut and self.random.random() < 0.5:
            view.read(self.store)
        else:
            view.listen(peer.state)

    def settle(self) -> None:
        """Let the writers write again and only one view read the store."""
        self.store.write_again()
        for _ in range(3):
            self.clock.jump(SETTLE_S)
            self.views[0].read(self.store)
            for view in self.views[1:]:
                view.listen(self.views[0].state)
        self.clock.jump(SETTLE_S)

    def _some_server(self) -> str | None:
        keys = sorted(key for key in self.store.written if key.startswith("servers/"))
        return self.random.choice(keys).removeprefix("servers/") if keys else None


@pytest.mark.parametrize("seed", [*range(60), *SEEDS_THAT_FAILED])
async def test_views_agree_in_the_end_and_never_revert(seed, autojump_clock):
    """Guards against anything that a restore makes an entry miss, or bring back."""
    run = RandomRun(seed, autojump_clock)
    for _ in range(STEPS):
        run.step()
    run.settle()
    live = {
        key.removeprefix("servers/")
        for key, value in run.store.written.items()
        if key.startswith("servers/") and value == b"false"
    }
    for view in run.views:
        view.check()
        assert view.state.configuration_version == run.version
        used = {server.server_id for server in view.state.servers.of_service("s")}
        assert used == live - run.draining
