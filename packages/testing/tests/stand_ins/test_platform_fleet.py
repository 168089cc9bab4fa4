"""The platform's stand-in fleet."""

from __future__ import annotations

import socket

import pytest
import trio

from sassafrastally.stand_ins.platform_fleet import (
    PORTS_PER_PROCESS,
    claim_first_port,
    platform_fleet,
)


class TestKilledEntries:
    """Entries that are killed and started again under the same number."""

    @pytest.mark.parametrize("turns", range(6))
    async def test_entry_starts_at_the_address_of_one_that_was_killed_while_it_read(self, turns):
        """Guards against a start that fails since the killed entry still has its UDP port.

        A task that has just received a datagram needs some turns of the loop to end.
        """
        async with platform_fleet() as fleet:
            await fleet.add_entry(1)
            settings = fleet.entry_settings(1)
            with socket.socket(type=socket.SOCK_DGRAM) as sender:
                for _ in range(20):
                    sender.sendto(b"datagram", (settings.host, settings.peer_port))
                for _ in range(turns):
                    await trio.lowlevel.checkpoint()
                fleet.kill_entry(1)
                await fleet.add_entry(1)


class TestClaimedPorts:
    """Parts of the range of ports, claimed by test processes."""

    def test_a_claimed_part_is_passed_over(self):
        """Guards against two test processes on one port, since their ids fall on the same part."""
        first_port = claim_first_port(0)
        next_port = claim_first_port(0)
        assert next_port >= first_port + PORTS_PER_PROCESS
