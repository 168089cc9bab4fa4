"""Services that send very much at once."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, cast

import pytest
import trio

from sassafrastally.stores.watch import EtcdWatch

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    import httpx


class TestWatch:
    """A watch that gets very much at once."""

    @pytest.mark.parametrize("is_in_one_result", [True, False])
    async def test_other_tasks_run_between_changes(self, is_in_one_result: bool) -> None:
        """Guards against a step of seconds for the thousands of changes in one response."""
        item = {"kv": {"key": "YQ==", "mod_revision": "8"}}
        results: list[dict[str, Any]] = [{"created": True}]
        if is_in_one_result:
            results.append({"events": [item] * 1000})
        else:
            results += [{"events": []}] * 1000 + [{"events": [item]}] * 1000

        class Response:
            async def aiter_lines(self) -> AsyncIterator[str]:
                for result in results:
                    yield json.dumps({"result": result})
                await trio.sleep_forever()

            async def aclose(self) -> None:
                pass

        async def open_stream(_body: Mapping[str, Any]) -> httpx.Response:
            return cast("httpx.Response", Response())

        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await trio.lowlevel.checkpoint()

        watch = EtcdWatch("a/", 1, open_stream, 10.0, lambda: None)
        await watch.open()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_turns)
            for _ in range(1000):
                await anext(watch)
            nursery.cancel_scope.cancel()
        assert turns >= (1000 if is_in_one_result else 2000)
