"""Interface to the wire formats of requests, responses, configuration and service discovery.

Each platform adapter implements `Dialect`, which is the only part of it that the request path uses.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sassafrastally.core import CodedError, error

if TYPE_CHECKING:
    from collections.abc import Generator

    from sassafrastally.proxy.model import (
        AttemptParameters,
        BackendServer,
        Configuration,
        EngineReport,
        RequestMetadata,
        ReservationOutcome,
        ResponseMetadata,
    )

Headers = list[tuple[bytes, bytes]]
"""Header fields in wire order, with names in lower case."""


@error(10001)
class DocumentInvalid(CodedError):
    """A configuration, a backend server's registry entry or a message is invalid."""


class Call(NamedTuple):
    """An HTTP call that the proxy makes itself, as opposed to a forwarded request."""

    method: str
    target: str
    headers: Headers
    body: bytes


class StoreKeys(NamedTuple):
    """Keys and key prefixes in the key-value store."""

    configuration: str
    """Key of the configuration."""
    servers_prefix: str
    """Prefix of the backend servers' registry entries."""
    entries_prefix: str
    """Prefix under which entries (proxy processes) register themselves."""
    quarantine_prefix: str
    """Prefix of the records of quarantined requests."""
    evacuations_prefix: str
    """Prefix of the records of evacuated data centres; the data centre's name follows."""


class Dialect(Protocol):
    """Translates between the wire format and the types of `sassafrastally.proxy.model`."""

    keys: StoreKeys

    def decode_request(self, headers: Headers) -> RequestMetadata:
        """Return the routing information of a caller's request; raises `DocumentInvalid`."""
        ...

    def attempt_headers(self, headers: Headers, terms: AttemptParameters) -> Headers:
        """Return the header fields to send to a backend server for a caller's request."""
        ...

    def decode_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return the information that the header of a backend server's response holds."""
        ...

    def response_headers(self, headers: Headers) -> Headers:
        """Return the header fields of a backend server's response to forward to the caller."""
        ...

    def retry_after_header(self, delay_s: float) -> tuple[bytes, bytes]:
        """Return the header field that tells the caller when to retry."""
        ...

    def decode_configuration(self, value: bytes) -> Configuration:
        """Parse a configuration; raises `DocumentInvalid`."""
        ...

    def configuration_steps(self, value: bytes) -> Generator[None, None, Configuration]:
        """Parse a configuration as `decode_configuration`, in steps of some milliseconds."""
        ...

    def decode_server(self, key: str, value: bytes) -> BackendServer:
        """Parse a backend server's registry entry; raises `DocumentInvalid`."""
        ...

    def make_reserve_call(
        self, server: BackendServer, reservation_id: str, tokens: int, hold_s: float
    ) -> Call:
        """Return the call that reserves memory or renews a reservation."""
        ...

    def make_release_call(self, server: BackendServer, reservation_id: str) -> Call:
        """Return the call that releases a reservation."""
        ...

    def decode_reservation(self, status: int, body: bytes) -> ReservationOutcome:
        """Return the outcome of a call that reserves memory."""
        ...

    def make_report_call(self, server: BackendServer) -> Call:
        """Return the call that requests an engine's status report."""
        ...

    def decode_report(self, status: int, body: bytes) -> EngineReport:
        """Parse an engine's status report; raises `DocumentInvalid`."""
        ...
