"""HTTP interface for operators: status, events, metrics and bundle management.

Every route requires a bearer token. Private keys stay with the operators: signatures and heads are
signed by the client and verified here.
"""

from __future__ import annotations

import hashlib
import hmac
import json
from typing import TYPE_CHECKING, Any, ClassVar, NamedTuple, cast

from quart import Response, request
from quart_trio import QuartTrio

from sassafrastally.control import operations
from sassafrastally.control.admin import AdminAnswer, AdminService
from sassafrastally.control.head import decode_head, encode_head
from sassafrastally.control.publish import add_signature
from sassafrastally.control.rolling import read_history, submit_head
from sassafrastally.control.signing import BundleSettings, Signature
from sassafrastally.control.spread import BundleService
from sassafrastally.control.timeline import merge_events
from sassafrastally.core import Address, CodedError, FindingsError, Service, error, event
from sassafrastally.core.kv import KvConflict, KvUnavailable, MaybeApplied
from sassafrastally.core.settings import section
from sassafrastally.entry.asgi import AsgiServer, ServerBounds
from sassafrastally.entry.connection_log import ConnectionLog
from sassafrastally.entry.events import HttpServerClosed
from sassafrastally.serving.explanations import explain
from sassafrastally.serving.receipts import ReceiptService
from sassafrastally.stores.service import PlatformService

if TYPE_CHECKING:
    from collections.abc import Sequence

    import trio

    from sassafrastally.control.interfaces import Membership
    from sassafrastally.core.kv import Kv
    from sassafrastally.stores.interfaces import VmState

ROLES = ("entry", "sidecar")

OPERATORS = "operators"
"""Name of the interface in events."""

MAX_DOCUMENT_BYTES = 16_000_000
"""Largest bundle document that is accepted."""

BEARER = "Bearer "

UNAUTHORIZED = 401
BAD_GATEWAY = 502
TEXT = "text/plain; version=0.0.4; charset=utf-8"

Body = dict[str, Any]

_STATUSES: tuple[tuple[type[CodedError], int], ...] = (
    (FindingsError, 422),
    (KvConflict, 409),
    (MaybeApplied, 504),
    (KvUnavailable, 503),
    (CodedError, 400),
)
"""HTTP status for each error class; the first matching entry applies."""


@section("admin", "entry")
class AdminSettings(NamedTuple):
    """The administration interface; without token digests every call is rejected."""

    listen_address: Address = Address("127.0.0.1", 0)
    """Address to listen on for operators; not for callers."""
    token_digests: tuple[str, ...] = ()
    """SHA-256 of each operator's token, 64 hexadecimal digits."""


@event(6801)
class AdminListening(NamedTuple):
    """The administration interface accepts connections."""

    address: str


@event(6802, "warning")
class AdminTurnedAway(NamedTuple):
    """A call to the administration interface had no valid token."""

    path: str


@error(6801)
class AdminBodyInvalid(CodedError):
    """The body of a call to the administration interface is invalid for the route."""


class AdminHttpService(Service):
    """Serves the administration interface of an entry.

    Parameters
    ----------
    settings
        Listen address and digests of the accepted tokens.
    bundle_settings
        Trusted signers of bundles.
    """

    name: ClassVar[str] = "admin-http"
    needs: ClassVar[tuple[str, ...]] = ("admin", "membership", "platform")

    def __init__(self, settings: AdminSettings, bundle_settings: BundleSettings) -> None:
        self._settings = settings
        self._bundle_settings = bundle_settings
        self._server: AsgiServer

    @property
    def bound_address(self) -> Address:
        """Address that the server is bound to; available after `start`."""
        return self._server.bound_address

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the HTTP server."""
        log = ConnectionLog(self.kernel, OPERATORS)
        self._server = AsgiServer(
            self._make_app(),
            self._settings.listen_address,
            ServerBounds(),
            log.record_shortage,
            log.record_gave_way,
        )
        await nursery.start(self._server.run)
        self.kernel.events.emit(AdminListening(str(self.bound_address)))

    async def stop(self) -> None:
        """Close the server once the calls in progress have ended."""
        closed = await self._server.close()
        self.kernel.events.emit(HttpServerClosed(OPERATORS, *closed))

    @property
    def _kv(self) -> Kv:
        return self.kernel.get("platform", PlatformService).kv

    def _make_app(self) -> QuartTrio:
        app = QuartTrio(__name__)
        app.config["MAX_CONTENT_LENGTH"] = MAX_DOCUMENT_BYTES
        app.json.sort_keys = False  # type: ignore[attr-defined]
        app.before_request(self._authenticate)
        app.register_error_handler(CodedError, _problem)
        app.add_url_rule("/admin/status", view_func=self._status)
        app.add_url_rule("/admin/events", view_func=self._events)
        app.add_url_rule("/admin/metrics", view_func=self._metrics)
        app.add_url_rule("/admin/explain", view_func=self._explain, methods=["POST"])
        app.add_url_rule("/admin/bundle", view_func=self._bundle)
        app.add_url_rule("/admin/bundle/history", view_func=self._history)
        app.add_url_rule("/admin/bundle/check", view_func=self._check, methods=["POST"])
        app.add_url_rule("/admin/bundle/publish", view_func=self._publish, methods=["POST"])
        app.add_url_rule("/admin/bundle/signatures", view_func=self._sign, methods=["POST"])
        app.add_url_rule("/admin/bundle/roll", view_func=self._roll, methods=["POST"])
        return app

    async def _authenticate(self) -> Response | None:
        header = request.headers.get("Authorization", "")
        digest = hashlib.sha256(header.removeprefix(BEARER).encode()).hexdigest()
        matches = [hmac.compare_digest(digest, item) for item in self._settings.token_digests]
        if header.startswith(BEARER) and any(matches):
            return None
        self.kernel.events.emit(AdminTurnedAway(request.path))
        body = json.dumps({"title": "Unauthorized", "detail": "The token is missing or wrong."})
        return Response(body, UNAUTHORIZED, content_type="application/json")

    async def _status(self) -> Body:
        states = self._states()
        answers = await self._admin.ask_all(states, "status", {})
        return {
            "processes": [
                _status_row(state, answer) for state, answer in zip(states, answers, strict=True)
            ]
        }

    async def _events(self) -> Body:
        where: Body = {}
        if request_id := request.args.get("request_id"):
            where["request_id"] = request_id
        if generation := request.args.get("generation"):
            where["generation"] = _parse_int(generation)
        wanted_vm = request.args.get("vm")
        states = [state for state in self._states() if wanted_vm in (None, state.vm)]
        answers = await self._admin.ask_all(states, "events", {"where": where})
        bodies = [answer.body for answer in answers if answer.body is not None]
        return {
            "events": merge_events(body["events"] for body in bodies),
            "left_out": sum(body["left_out"] for body in bodies),
            "silent": {answer.vm: answer.problem for answer in answers if answer.body is None},
        }

    async def _metrics(self) -> Response:
        """Return the metrics of one process, ``?vm=NAME``; by default those of this entry."""
        vm = request.args.get("vm", self.kernel.vm)
        state = next((state for state in self._states() if state.vm == vm), None)
        if vm == self.kernel.vm:
            answer = AdminAnswer(vm, await self._admin.ask_here("metrics", {}))
        elif state is not None:
            answer = await self._admin.ask(state, "metrics", {})
        else:
            raise AdminBodyInvalid(f"VM {vm!r} isn't in the VM list")
        if answer.body is None:
            return Response(answer.problem, BAD_GATEWAY, content_type=TEXT)
        return Response(answer.body["text"], content_type=TEXT)

    async def _explain(self) -> Body:
        receipt = (await _json_body()).get("receipt")
        facts = self.kernel.get("receipts", ReceiptService).open(str(receipt))
        return {"facts": facts._asdict(), "text": explain(facts)}

    async def _bundle(self) -> Body:
        status = await operations.read_status(self._kv, self._bundle_settings)
        return cast("Body", operations.plain(status))

    async def _history(self) -> Body:
        return {"heads": operations.plain(await read_history(self._kv))}

    async def _check(self) -> Body:
        checked = operations.check_document(await _text_body(), "bundle.toml")
        return cast("Body", operations.plain(checked))

    async def _publish(self) -> Body:
        published = await operations.publish_document(self._kv, await _text_body(), "bundle.toml")
        return cast("Body", operations.plain(published))

    async def _sign(self) -> Body:
        body = await _json_body()
        signature = Signature(str(body.get("signer")), str(body.get("signature")))
        await add_signature(self._kv, str(body.get("digest")), signature, self._bundle_settings)
        return signature._asdict()

    async def _roll(self) -> Body:
        head = decode_head(cast("bytes", await request.get_data(as_text=False)))
        result = await submit_head(self._kv, head, self._bundle_settings)
        # Apply the head locally at once. If the KV service went down before a watch had reported
        # the head, no process would know the accepted bundle.
        self.kernel.get("bundle", BundleService).on_kv_head(encode_head(result.head))
        return cast("Body", operations.plain(result))

    @property
    def _admin(self) -> AdminService:
        return self.kernel.get("admin", AdminService)

    def _states(self) -> list[VmState]:
        membership = cast("Membership", self.kernel.get("membership", Service))
        return sorted(state for role in ROLES for state in membership.vms(role))


def _status_row(state: VmState, answer: AdminAnswer) -> Body:
    return {
        "vm": state.vm,
        "role": state.role,
        "data_centre": state.data_centre,
        "leaving": state.leaving,
        "problem": answer.problem,
        "services": answer.body["services"] if answer.body else {},
    }


async def _json_body() -> Body:
    body = await request.get_json(force=True, silent=True)
    if not isinstance(body, dict):
        raise AdminBodyInvalid("the body must be a JSON object")
    return body


async def _text_body() -> str:
    try:
        return cast("bytes", await request.get_data(as_text=False)).decode()
    except UnicodeDecodeError as cause:
        raise AdminBodyInvalid("the body must be UTF-8 text") from cause


def _parse_int(text: str) -> int:
    try:
        return int(text)
    except ValueError as cause:
        raise AdminBodyInvalid(f"generation must be an integer, not {text!r}") from cause


def _problem(failure: CodedError) -> tuple[Body, int]:
    status = next(status for kind, status in _STATUSES if isinstance(failure, kind))
    findings: Sequence[object] = failure.findings if isinstance(failure, FindingsError) else ()
    return {
        "title": type(failure).__name__,
        "code": f"E{failure.code}",
        "detail": failure.detail,
        "findings": [str(finding) for finding in findings],
    }, status
