"""The callers' interface: its public API, invalid input and problem details."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest
import trio

from sassafrastally.entry.routes import Routes
from sassafrastally.wire.messages import Refused, Reserve

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

AUTHORIZATION = {"Authorization": "Bearer a-key-of-yeso-justo"}
GOOD = {"model": "yeso-small", "prompt": "A wall in Prado, 12 m2.", "max_tokens": 16}
THREE_EVENTS = b'data: {"w":"ha"}\n\ndata: {"w":"ho"}\n\ndata: {"w":"hi"}\n\n'


@pytest.fixture
def client(world: Any) -> Any:
    return Routes(world.path).make_app().test_client()


async def post(client: Any, fields: Any, path: str = "/v1/completions", **headers: str) -> Any:
    data = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    return await client.post(path, data=data, headers={**AUTHORIZATION, **headers})


def no_sidecar_was_contacted(world: Any) -> bool:
    return not (world.s1.log or world.s2.log)


class TestCompletions:
    async def test_streamed_chat(self, world: Any, client: Any, autojump_clock: Any) -> None:
        messages = [{"role": "user", "content": "Which crew?"}]
        fields = {"model": "yeso-small", "messages": messages, "stream": True}
        response = await post(client, fields, "/v1/chat/completions")
        assert response.status_code == 200
        assert response.headers["Content-Type"].startswith("text/event-stream")
        assert len(response.headers["Sassafrastally-Request-Id"]) == 32
        assert await response.get_data() == THREE_EVENTS + b"data: [DONE]\n\n"
        (reserve,) = world.s1.of(Reserve) + world.s2.of(Reserve)
        assert reserve.operation == "POST /v1/chat/completions"
        assert (reserve.customer, reserve.model) == ("yeso-justo", "yeso-small")

    async def test_non_streamed_completion(
        self, world: Any, client: Any, autojump_clock: Any
    ) -> None:
        response = await post(client, GOOD)
        assert (response.status_code, await response.get_data()) == (200, THREE_EVENTS)
        assert response.headers["Sassafrastally-Outcome"] == "completed"

    async def test_failure_after_the_first_data_is_an_event_without_done(
        self, world: Any, client: Any, autojump_clock: Any
    ) -> None:
        """A stream fails after its first data. If its last event were that of a complete answer,
        the client would show a truncated answer as complete."""

        async def fail(sidecar: Any, end: Any, reserve: Reserve) -> None:
            await sidecar.accept(end, reserve)
            own = reserve.request_id, reserve.attempt
            await end.send(
                *sidecar.chunks(own, sidecar.words[:1]),
                sidecar.end(own, 1, "failed", code="backend-failed"),
            )

        world.s1.scripts, world.s2.scripts = [fail] * 5, [fail] * 5
        headers = {"Sassafrastally-Idempotent": "false"}
        response = await post(client, {**GOOD, "stream": True}, **headers)
        body = await response.get_data()
        assert b"event: error\n" in body
        assert b"[DONE]" not in body
        problem = json.loads(body.rpartition(b"data: ")[2])
        assert (problem["code"], problem["outcome"]) == ("backend-failed", "failed")

    async def test_models_of_the_customer(self, client: Any, autojump_clock: Any) -> None:
        response = await client.get("/v1/models", headers={"Authorization": "Bearer another"})
        assert [item["id"] for item in (await response.get_json())["data"]] == ["dossier"]

    async def test_time_limit_of_the_caller(
        self, world: Any, client: Any, autojump_clock: Any
    ) -> None:
        response = await post(client, GOOD, **{"Sassafrastally-Time-Limit-S": "7.5"})
        assert response.status_code == 200
        (reserve,) = world.s1.of(Reserve) + world.s2.of(Reserve)
        assert 7.0 < reserve.time_limit_s <= 7.5


class TestServices:
    async def test_method_path_and_query_reach_the_service(
        self, world: Any, client: Any, autojump_clock: Any
    ) -> None:
        response = await post(client, b"{}", "/services/bookings/crews/7?day=3")
        assert response.status_code == 200
        (reserve,) = world.s1.of(Reserve) + world.s2.of(Reserve)
        assert reserve.operation == "POST /crews/7?day=3"
        assert (reserve.service, reserve.idempotent, reserve.commit_now) == (
            "bookings",
            False,
            False,
        )

    @pytest.mark.parametrize("marked", ["true", "false"])
    async def test_caller_can_only_restrict_idempotency(
        self, world: Any, client: Any, autojump_clock: Any, marked: str
    ) -> None:
        headers = {"Sassafrastally-Idempotent": marked}
        await post(client, b"{}", "/services/bookings/crews", **headers)
        (reserve,) = world.s1.of(Reserve) + world.s2.of(Reserve)
        assert not reserve.idempotent


BAD = {
    "broken JSON": (b'{"model": "yeso-small", ', 400, "bad-request"),
    "invalid UTF-8": (b'{"model": "\xff"}', 400, "bad-request"),
    "lone surrogate": (b'{"model": "yeso-small", "prompt": "\\ud800"}', 400, "bad-request"),
    "nested too deeply": (b"[" * 50_000, 400, "bad-request"),
    "not an object": (b"[1]", 400, "bad-request"),
    "NaN": (b'{"model": "yeso-small", "prompt": "a", "seed": NaN}', 400, "bad-request"),
    "no model": ({"prompt": "a"}, 400, "bad-request"),
    "model of a wrong type": ({**GOOD, "model": 3}, 400, "bad-request"),
    "no prompt": ({"model": "yeso-small"}, 400, "bad-request"),
    "prompt of a wrong type": ({**GOOD, "prompt": {"a": 1}}, 400, "bad-request"),
    "token numbers that are not integers": ({**GOOD, "prompt": [1, True]}, 400, "bad-request"),
    "negative token number": ({**GOOD, "prompt": [1, -1]}, 400, "bad-request"),
    "negative limit": ({**GOOD, "max_tokens": -1}, 400, "bad-request"),
    "limit of 0": ({**GOOD, "max_tokens": 0}, 400, "bad-request"),
    "boolean limit": ({**GOOD, "max_tokens": True}, 400, "bad-request"),
    "limit over the bundle's": ({**GOOD, "max_tokens": 100_000}, 400, "bad-request"),
    "stream of a wrong type": ({**GOOD, "stream": "yes"}, 400, "bad-request"),
    "two answers": ({**GOOD, "n": 2}, 400, "bad-request"),
    "temperature out of range": ({**GOOD, "temperature": 3}, 400, "bad-request"),
    "unknown model": ({**GOOD, "model": "other"}, 404, "unknown-model"),
    "prompt over the model's context": ({**GOOD, "prompt": [1] * 20_000}, 422, "prompt-too-long"),
    "body over the limit": (b"x" * 100_001, 413, "body-too-large"),
}

BAD_HEADERS = {
    "unknown key": ({"Authorization": "Bearer nobody"}, 401, "unknown-customer"),
    "no key": ({"Authorization": ""}, 401, "unknown-customer"),
    "other scheme": ({"Authorization": "Basic a-key-of-yeso-justo"}, 401, "unknown-customer"),
    "model not allowed": ({"Authorization": "Bearer another"}, 403, "model-not-allowed"),
    "time limit not a number": ({"Sassafrastally-Time-Limit-S": "soon"}, 400, "bad-request"),
    "time limit NaN": ({"Sassafrastally-Time-Limit-S": "nan"}, 400, "bad-request"),
    "time limit negative": ({"Sassafrastally-Time-Limit-S": "-1"}, 400, "bad-request"),
    "time limit too long": ({"Sassafrastally-Time-Limit-S": "61"}, 400, "bad-request"),
    "invalid idempotent flag": ({"Sassafrastally-Idempotent": "perhaps"}, 400, "bad-request"),
    "idempotency key too long": ({"Idempotency-Key": "k" * 129}, 400, "bad-request"),
    "idempotency key empty": ({"Idempotency-Key": ""}, 400, "bad-request"),
}


class TestBadInput:
    @pytest.mark.parametrize("case", BAD)
    async def test_body(self, world: Any, client: Any, autojump_clock: Any, case: str) -> None:
        fields, status, code = BAD[case]
        response = await post(client, fields)
        problem = json.loads(await response.get_data())
        assert (response.status_code, problem["code"]) == (status, code)
        assert problem["outcome"] == "not_run"
        assert no_sidecar_was_contacted(world)

    @pytest.mark.parametrize("case", BAD_HEADERS)
    async def test_headers(self, world: Any, client: Any, autojump_clock: Any, case: str) -> None:
        headers, status, code = BAD_HEADERS[case]
        response = await post(client, GOOD, **headers)
        problem = json.loads(await response.get_data())
        assert (response.status_code, problem["code"]) == (status, code)
        assert no_sidecar_was_contacted(world)

    async def test_unknown_service(self, world: Any, client: Any, autojump_clock: Any) -> None:
        response = await post(client, b"", "/services/nothing")
        assert response.status_code == 404
        assert no_sidecar_was_contacted(world)

    async def test_body_that_never_ends(self, world: Any, client: Any, autojump_clock: Any) -> None:
        """A caller keeps its connection open with an incomplete body. The time limit must apply
        from the arrival of the request, or such callers would exhaust the entry."""
        started_s = trio.current_time()
        async with client.request(
            "/v1/completions", method="POST", headers=AUTHORIZATION
        ) as connection:
            await connection.send(b"{")
            await trio.sleep(31)
            response = await connection.as_response()
        problem = json.loads(await response.get_data())
        assert (problem["code"], problem["outcome"]) == ("time-limit-passed", "not_run")
        assert trio.current_time() < started_s + 32


class TestKeys:
    async def test_key_removed_by_a_roll_is_rejected_at_once(
        self, world: Any, client: Any, autojump_clock: Any
    ) -> None:
        """A stolen key must not work until the entry restarts once a roll has revoked it."""
        assert (await post(client, GOOD)).status_code == 200
        in_force = world.bundles.in_force
        bundle = in_force.bundle._replace(customers=in_force.bundle.customers[1:])
        world.bundles.in_force = in_force._replace(generation=8, bundle=bundle)
        assert (await post(client, GOOD)).status_code == 401


class TestProblemDetails:
    async def test_refusal_with_figures(
        self, world: Any, client: Any, autojump_clock: Any, snapshot: SnapshotAssertion
    ) -> None:
        async def refuse(sidecar: Any, end: Any, reserve: Reserve) -> None:
            figures = (120.0, 131.0, 2.4, "The engine's memory is promised to a long prompt.")
            refused = Refused(reserve.request_id, reserve.attempt, "memory-full", *figures)
            await end.send(refused)

        world.s1.scripts, world.s2.scripts = [refuse], [refuse]
        response = await post(client, GOOD)
        headers = {
            name: value
            for name, value in response.headers.items()
            if name.startswith(("Sassafrastally", "Retry", "Content-Type"))
        }
        assert (response.status_code, headers, await response.get_data()) == snapshot

    async def test_bad_request(
        self, client: Any, autojump_clock: Any, snapshot: SnapshotAssertion
    ) -> None:
        response = await post(client, {**GOOD, "max_tokens": -1})
        assert (response.status_code, await response.get_data()) == snapshot


class TestProbes:
    async def test_ready_with_a_bundle(self, world: Any, client: Any, autojump_clock: Any) -> None:
        assert (await client.get("/healthz")).status_code == 200
        assert (await client.get("/readyz")).status_code == 200
        world.bundles.in_force = None
        assert (await client.get("/readyz")).status_code == 503
        response = await post(client, GOOD)
        assert json.loads(await response.get_data())["code"] == "no-bundle"

    async def test_not_ready_without_a_sidecar(
        self, world: Any, client: Any, autojump_clock: Any
    ) -> None:
        """An entry with a wrong link secret has a bundle but no sidecars. If it reported ready, it
        would refuse requests that other entries can serve."""
        world.membership.loads = list
        assert (await client.get("/readyz")).status_code == 503

    async def test_not_ready_when_its_vm_leaves(
        self, world: Any, client: Any, autojump_clock: Any
    ) -> None:
        world.membership.leaving.add(world.kernel.vm)
        assert (await client.get("/readyz")).status_code == 503

    async def test_not_ready_after_the_stop_signal(
        self, world: Any, client: Any, autojump_clock: Any
    ) -> None:
        world.kernel.stopping.set()
        assert (await client.get("/readyz")).status_code == 503
        assert (await client.get("/healthz")).status_code == 200
