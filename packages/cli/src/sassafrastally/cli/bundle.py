"""``sassafrastally bundle``: check, publish, sign, roll and compare bundles; make keys."""

from __future__ import annotations

import json
import os
import random
import tomllib
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

from sassafrastally.cli.exit_codes import ExitCode
from sassafrastally.cli.loading import read_text
from sassafrastally.control import operations
from sassafrastally.control.compile import compile_bundle
from sassafrastally.control.diff import diff_bundles
from sassafrastally.control.rolling import DEFAULT_HISTORY
from sassafrastally.control.signing import (
    BundleSettings,
    SigningKey,
    decode_key,
    encode_key,
    make_key,
)
from sassafrastally.core import Finding, FindingsError, Place
from sassafrastally.core.settings import check_table
from sassafrastally.stores import EtcdKv
from sassafrastally.stores.settings import KvSettings, PurposeBudget

if TYPE_CHECKING:
    import argparse
    from collections.abc import AsyncIterator, Awaitable, Callable

    from sassafrastally.control.bundle import Bundle
    from sassafrastally.control.diff import Change
    from sassafrastally.control.head import Head
    from sassafrastally.core.kv import Kv

    Run = Callable[[argparse.Namespace], Awaitable[int]]
    Subparsers = argparse._SubParsersAction[argparse.ArgumentParser]

KEY_FILE_MODE = 0o600
SHOWN_DIGEST = 12
"""Digits of a digest in a table."""
OPERATOR_BUDGETS = (PurposeBudget("admin", calls_per_s=100.0, burst=200),)
"""One operator's command may be quicker than a process of the fleet."""


def add_parser(subparsers: Subparsers) -> None:
    """Add the group of commands."""
    group = subparsers.add_parser("bundle", help="check, publish, sign and roll bundles")
    commands = group.add_subparsers(required=True, metavar="ACTION")
    check = _add(commands, "check", "print every finding of a bundle", _run_check)
    check.add_argument("file", type=Path, help="bundle (TOML)")
    publish = _add(commands, "publish", "store a bundle's parts under its digest", _run_publish)
    publish.add_argument("file", type=Path, help="bundle (TOML)")
    sign = _add(commands, "sign", "sign a published bundle", _run_sign)
    sign.add_argument("digest", help="digest that publish printed")
    roll = _add(commands, "roll", "put a signed bundle in force", _run_roll)
    roll.add_argument("digest", help="digest of the bundle")
    roll.add_argument(
        "--from-generation",
        type=int,
        required=True,
        metavar="N",
        help="generation that is in force as you saw it; 0 for the first roll",
    )
    roll.add_argument("--nonce", default="", help="name of the roll; derived when left out")
    status = _add(commands, "status", "show the accepted bundle and its signatures", _run_status)
    diff = _add(commands, "diff", "show what changes from one bundle to another", _run_diff)
    for name in ("before", "after"):
        diff.add_argument(name, help="file, digest, generation or head")
    history = _add(commands, "history", "list the last rolls, newest first", _run_history)
    history.add_argument("--limit", type=int, default=DEFAULT_HISTORY, help="how many")
    key = _add(commands, "make-key", "make a signing key", _run_make_key)
    key.add_argument("signer", help="name under which the key signs")
    key.add_argument("--out", type=Path, required=True, help="new file for the private key")
    for parser in (sign, roll):
        parser.add_argument("--key", type=Path, required=True, help="private key file")
    for parser in (sign, roll, status):
        parser.add_argument(
            "--settings", type=Path, required=True, help="TOML file with the table [bundle]"
        )
    for parser in (publish, sign, roll, status, history):
        _add_kv_argument(parser, is_required=True)
    _add_kv_argument(diff, is_required=False)


def _add(commands: Subparsers, name: str, text: str, run: Run) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=text, description=text)
    parser.add_argument("--json", action="store_true", help="print the result as JSON")
    parser.set_defaults(run=run)
    return parser


def _add_kv_argument(parser: argparse.ArgumentParser, *, is_required: bool) -> None:
    parser.add_argument(
        "--kv", required=is_required, metavar="IP:PORT", help="address of the KV service"
    )


async def _run_check(arguments: argparse.Namespace) -> int:
    checked = operations.check_document(read_text(arguments.file), arguments.file.name)
    text = (
        f"{arguments.file.name}: no findings\n"
        f"digest {checked.digest}\n"
        f"{checked.models} models, {checked.customers} customers, {checked.services} services;"
        f" {checked.parts} parts, {checked.size_bytes} bytes"
    )
    return _show(arguments, checked, text)


async def _run_publish(arguments: argparse.Namespace) -> int:
    text = read_text(arguments.file)
    async with _open_kv(arguments.kv) as kv:
        published = await operations.publish_document(kv, text, arguments.file.name)
    shown = (
        f"published {published.digest}\n"
        f"{published.written} new of {published.values} values, {published.written_bytes} bytes"
    )
    return _show(arguments, published, shown)


async def _run_sign(arguments: argparse.Namespace) -> int:
    settings = _load_bundle_settings(arguments.settings)
    key = _load_key(arguments.key)
    async with _open_kv(arguments.kv) as kv:
        signature = await operations.sign_bundle(kv, arguments.digest, key, settings)
    return _show(arguments, signature, f"{signature.signer} signed {arguments.digest}")


async def _run_roll(arguments: argparse.Namespace) -> int:
    settings = _load_bundle_settings(arguments.settings)
    key = _load_key(arguments.key)
    order = operations.RollOrder(arguments.digest, arguments.from_generation, arguments.nonce)
    async with _open_kv(arguments.kv) as kv:
        result = await operations.roll_bundle(kv, order, key, settings)
    how = "was accepted by an earlier run of this order" if result.repeated else "is accepted"
    return _show(arguments, result, f"generation {result.head.generation} {how}")


async def _run_status(arguments: argparse.Namespace) -> int:
    settings = _load_bundle_settings(arguments.settings)
    async with _open_kv(arguments.kv) as kv:
        status = await operations.read_status(kv, settings)
    return _show(arguments, status, render_bundle_status(status))


async def _run_diff(arguments: argparse.Namespace) -> int:
    before_file, after_file = Path(arguments.before), Path(arguments.after)
    if before_file.is_file() and after_file.is_file():
        changes = diff_bundles(_compile_file(before_file), _compile_file(after_file))
    elif not arguments.kv:
        raise _finding("--kv", "needed, since one of the bundles is no file")
    else:
        async with _open_kv(arguments.kv) as kv:
            before = await _resolve(kv, arguments.before)
            after = await _resolve(kv, arguments.after)
        changes = diff_bundles(before, after)
    return _show(arguments, changes, render_changes(changes))


async def _run_history(arguments: argparse.Namespace) -> int:
    async with _open_kv(arguments.kv) as kv:
        heads = await operations.read_history(kv, arguments.limit)
    return _show(arguments, heads, render_history(heads))


async def _run_make_key(arguments: argparse.Namespace) -> int:
    key = make_key(arguments.signer)
    try:
        descriptor = os.open(arguments.out, os.O_WRONLY | os.O_CREAT | os.O_EXCL, KEY_FILE_MODE)
    except OSError as cause:
        raise _finding(str(arguments.out), f"can't be made: {cause.strerror}") from cause
    with os.fdopen(descriptor, "w", encoding="utf-8") as file:
        file.write(encode_key(key))
    public = {"name": key.signer, "public_key": key.public_key}
    text = (
        f"private key in {arguments.out}; keep it to yourself\n"
        "[[bundle.trusted_signers]]\n"
        f'name = "{key.signer}"\n'
        f'public_key = "{key.public_key}"'
    )
    return _show(arguments, public, text)


def render_bundle_status(status: operations.BundleStatus) -> str:
    """Return the accepted head, its signatures and the watchers as text."""
    if status.head is None:
        return "no bundle was rolled yet"
    head = status.head
    lines = [f"generation {head.generation}, rolled by {head.roller}", f"digest {head.digest}"]
    lines += [
        f"signed by {item.signer}" + ("" if item.counts else f", doesn't count: {item.reason}")
        for item in status.signatures
    ]
    lines += [f"watcher in {item.data_centre}: {item.vm}" for item in status.watchers]
    return "\n".join(lines)


def render_changes(changes: list[Change]) -> str:
    """Return changes one a line."""
    if not changes:
        return "no difference"
    return "\n".join(f"{item.key}: {item.before!r} -> {item.after!r}" for item in changes)


def render_history(heads: list[Head]) -> str:
    """Return rolls one a line."""
    if not heads:
        return "no bundle was rolled yet"
    return "\n".join(
        f"{head.generation:>6}  {head.digest[:SHOWN_DIGEST]}  rolled by {head.roller}, signed by "
        + ", ".join(item.signer for item in head.signatures)
        for head in heads
    )


def _show(arguments: argparse.Namespace, result: Any, text: str) -> int:
    if arguments.json:
        print(json.dumps(operations.plain(result), indent=2, sort_keys=True))
    else:
        print(text)
    return ExitCode.OK


async def _resolve(kv: Kv, reference: str) -> Bundle:
    path = Path(reference)
    return _compile_file(path) if path.is_file() else await operations.resolve_bundle(kv, reference)


def _compile_file(path: Path) -> Bundle:
    return compile_bundle(read_text(path), path.name)


def _load_key(path: Path) -> SigningKey:
    return decode_key(read_text(path))


def _load_bundle_settings(path: Path) -> BundleSettings:
    """Return the table ``[bundle]`` of a settings file; its other tables aren't looked at."""
    try:
        document = tomllib.loads(read_text(path))
    except tomllib.TOMLDecodeError as cause:
        raise FindingsError([Finding(Place(path.name, 0, ""), str(cause))]) from cause
    settings, problems = check_table(document.get("bundle", {}), BundleSettings)
    if settings is None:
        raise FindingsError(
            Finding(Place(path.name, 0, f"bundle.{key}"), message) for key, message in problems
        )
    return settings


@asynccontextmanager
async def _open_kv(address: str) -> AsyncIterator[Kv]:
    checked, problems = check_table({"address": address}, KvSettings)
    if checked is None:
        raise _finding("--kv", problems[0][1])
    kv = EtcdKv(checked._replace(budgets=OPERATOR_BUDGETS), random.SystemRandom())
    try:
        yield kv
    finally:
        await kv.aclose()


def _finding(key: str, message: str) -> FindingsError:
    return FindingsError([Finding(Place("command line", 0, key), message)])
