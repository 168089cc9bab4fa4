"""Tests of the peer service as used by other services."""

from __future__ import annotations

from functools import partial

import pytest
import trio
import trustme

from sassafrastally.core.secret import Secret
from sassafrastally.wire import (
    Chunk,
    End,
    LinkCut,
    LinkRefused,
    LoadReport,
    NoHandler,
    PeerSettingsError,
    PeersStopping,
    Query,
    QueryReply,
    Reserve,
    StreamEnded,
)


class TestPeerService:
    async def test_call_reuses_the_link(self, pair, autojump_clock):
        link = await pair.link()
        assert link.peer[:3] == ("sidecar-1", "sidecar", "sala-prado")
        assert await link.call(Query("r1")) == QueryReply("r1", state="committed")
        assert await pair.link() is link
        assert pair.entry.links() == [link]

    async def test_both_ends_call_over_one_link(self, pair, autojump_clock):
        async def reply(stream, reserve):
            await stream.send(End(reserve.request_id))

        pair.entry.on_stream(Reserve, reply)
        await (await pair.link()).call(Query("r1"))
        back = await pair.sidecar.link_to("entry-1", pair.entry.bound_address)
        assert await back.call(Reserve("r2")) == End("r2")
        assert len(pair.sidecar.links()) == 1

    async def test_notice_and_link_handlers_are_called(self, pair, autojump_clock):
        notices, links = [], []
        done = trio.Event()

        async def on_report(peer, report):
            notices.append((peer.vm, report))
            done.set()
            raise PeerSettingsError("must not affect the link")

        async def on_link(link):
            links.append(link.peer.vm)

        pair.sidecar.on_notice(LoadReport, on_report)
        pair.sidecar.on_link(on_link)
        link = await pair.link()
        await link.notify(LoadReport(running=3))
        await done.wait()
        assert notices == [("entry-1", LoadReport(running=3))]
        assert await link.call(Query("r1"))
        assert links == ["entry-1"]

    async def test_failing_handler_closes_only_its_stream(self, pair, events_of, autojump_clock):
        """A handler fails in its own nursery: the caller gets the code, other streams continue."""

        async def fail(stream, reserve):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream.receive)
                raise PeerSettingsError("no room")

        pair.sidecar.on_stream(Reserve, fail)
        link = await pair.link()
        with pytest.raises(StreamEnded, match="no room") as ended:
            await link.call(Reserve("r1"))
        assert ended.value.peer_code == PeerSettingsError.code
        assert await link.call(Query("r2"))
        assert "StreamFailed" in events_of(pair.sidecar)

    async def test_stream_without_handler_is_closed(self, pair, autojump_clock):
        link = await pair.link()
        with pytest.raises(StreamEnded) as ended:
            await link.call(Reserve("r1"))
        assert ended.value.peer_code == NoHandler.code

    async def test_waiters_share_a_failed_dial(self, pair, autojump_clock):
        """Guards against waiters that dial a dead VM one after the other.

        Each of forty requests would wait a full time limit, the last for minutes. They must share
        the outcome of one dial within one time limit.
        """
        pair.fleet.network.freeze(pair.sidecar.bound_address)
        refusals = []

        async def ask():
            with pytest.raises(LinkRefused) as refused:
                await pair.link()
            refusals.append(refused.value)

        with trio.fail_after(5.1):
            async with trio.open_nursery() as nursery:
                for _ in range(40):
                    nursery.start_soon(ask)
        assert len(refusals) == 40

    async def test_dial_continues_when_its_first_caller_is_cancelled(self, pair, autojump_clock):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pair.link)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        with trio.fail_after(0.1):
            assert (await pair.link()).is_up

    async def test_simultaneous_dials(self, pair, autojump_clock):
        """Two processes dial each other at the same time: each uses the link it dialled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pair.link)
            nursery.start_soon(pair.sidecar.link_to, "entry-1", pair.entry.bound_address)
        assert await (await pair.link()).call(Query("r1"))
        assert len(pair.entry.links()) == len(pair.sidecar.links()) == 2

    async def test_refused_connection(self, pair, autojump_clock):
        pair.fleet.network.refuse(pair.sidecar.bound_address)
        with pytest.raises(LinkRefused):
            await pair.link()
        pair.fleet.network.admit(pair.sidecar.bound_address)
        assert (await pair.link()).is_up

    async def test_address_of_another_vm(self, pair, autojump_clock):
        """An address was reassigned to another VM, which would get the work of the first."""
        with pytest.raises(LinkRefused, match="answered in place of"):
            await pair.entry.link_to("sidecar-9", pair.sidecar.bound_address)
        assert pair.entry.links() == []

    @pytest.mark.parametrize(
        "changes",
        [
            {"link_secret": Secret("")},
            {"window_bytes": 1000},
            {"ping_interval_s": 0.0},
            {"tls_ca": "ca.pem"},
        ],
    )
    async def test_settings_are_checked(self, fleet, changes, autojump_clock):
        with pytest.raises(PeerSettingsError):
            await fleet.start("entry-1", **changes)


class TestStop:
    async def test_open_stream_completes(self, pair, autojump_clock):
        """Guards against a graceful stop that truncates a response.

        A sidecar is stopped in the middle of a response. The caller gets all chunks and the end; a
        new stream is closed with a code which says that nothing was executed.
        """
        is_half = trio.Event()

        async def answer(stream, reserve):
            for number in range(100):
                await stream.send(Chunk("r1", 1, number, 1, b"x" * 1000))
                await trio.sleep(0.01)
                if number == 50:
                    is_half.set()
            await stream.send(End("r1", chunks=100))

        pair.sidecar.on_stream(Reserve, answer)
        link = await pair.link()
        async with link.open_stream() as stream:
            await stream.send(Reserve("r1"))
            await is_half.wait()
            pair.sidecar.kernel.request_stop()
            await trio.sleep(0.01)
            with pytest.raises(StreamEnded) as ended:
                await link.call(Query("r2"))
            assert ended.value.peer_code == PeersStopping.code
            received = [await stream.receive() for _ in range(101)]
        assert received[-1] == End("r1", chunks=100)
        await trio.sleep(0.1)
        assert not link.is_up

    async def test_hung_stream_delays_the_stop_for_a_bounded_time(self, pair, autojump_clock):
        pair.sidecar.on_stream(Reserve, lambda stream, message: trio.sleep_forever())
        stream = (await pair.link()).open_stream()
        await stream.send(Reserve("r1"))
        await trio.sleep(0.01)
        stop_requested_s = trio.current_time()
        pair.sidecar.kernel.request_stop()
        with pytest.raises(LinkCut):
            await stream.receive()
        assert trio.current_time() - stop_requested_s == pytest.approx(10.0, abs=0.1)


class TestTls:
    @staticmethod
    def changes(authority):
        identity = authority.issue_cert("peer.invalid")
        return {
            "tls_certificate": "".join(pem.bytes().decode() for pem in identity.cert_chain_pems),
            "tls_key": Secret(identity.private_key_pem.bytes().decode()),
            "tls_ca": authority.cert_pem.bytes().decode(),
        }

    async def start_pair(self, fleet, entry_changes, sidecar_changes):
        async def reply(stream, query):
            await stream.send(QueryReply(query.request_id))

        sidecar = await fleet.start("sidecar-1", **sidecar_changes)
        sidecar.on_stream(Query, reply)
        entry = await fleet.start("entry-1", **entry_changes)
        return partial(entry.link_to, "sidecar-1", sidecar.bound_address)

    async def test_keys_as_text(self, fleet, autojump_clock):
        changes = self.changes(trustme.CA())
        dial = await self.start_pair(fleet, changes, changes)
        assert await (await dial()).call(Query("r1")) == QueryReply("r1")

    async def test_keys_in_files(self, fleet, tmp_path, autojump_clock):
        changes = self.changes(trustme.CA())
        for name, text in changes.items():
            (tmp_path / name).write_text(text)
        files = {name: type(text)(tmp_path / name) for name, text in changes.items()}
        dial = await self.start_pair(fleet, files, changes)
        assert await (await dial()).call(Query("r1")) == QueryReply("r1")

    async def test_peer_with_another_authority_is_refused(self, fleet, autojump_clock):
        """The peer knows the secret but has a certificate of another authority, or none."""
        ours, theirs = self.changes(trustme.CA()), self.changes(trustme.CA())
        for changes in (theirs | {"tls_ca": ours["tls_ca"]}, theirs, {}):
            dial = await self.start_pair(fleet, changes, ours)
            with pytest.raises(LinkRefused):
                await dial()
            assert not dial.func.__self__.links()
