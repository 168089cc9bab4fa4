"""Typed settings loaded from TOML and validated as a whole.

A package declares its settings table as a `NamedTuple` with the `section` decorator. Loading
validates the file against the sections of the process's role and reports every finding with file,
line and key.
"""

from __future__ import annotations

import ipaddress
import math
import re
import tomllib
from typing import (
    TYPE_CHECKING,
    Any,
    NamedTuple,
    TypeVar,
    cast,
    get_args,
    get_origin,
    get_type_hints,
)

import cattrs
from cattrs.cols import is_namedtuple, namedtuple_dict_structure_factory
from cattrs.errors import ForbiddenExtraKeysError

from sassafrastally.core.findings import Finding, FindingsError, Place
from sassafrastally.core.network import Address
from sassafrastally.core.secret import Secret

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping, Sequence

T = TypeVar("T", bound="type[Any]")
V = TypeVar("V")

SECTIONS: dict[str, type[Any]] = {}
"""Declared sections by table name; the settings reference page is generated from it."""

ROLES: dict[str, list[str]] = {"entry": [], "sidecar": []}
"""Names of the sections that each role reads."""

POSITIVE_SUFFIXES = ("_s", "_ms", "_bytes", "_tokens", "_per_s")
"""Fields with these unit suffixes can't be negative."""

MAX_ITEM_PROBLEMS = 100
"""Problems after which the items of a list aren't checked further. Some 100,000 items of the wrong
type, in a record of another writer, would block the process for seconds."""

MAX_INTEGER_BITS = 64
"""Larger integers fail in arithmetic and in messages, and can't even be shown from some size on."""

_TABLE = re.compile(r"^\s*\[{1,2}\s*([^\]]+?)\s*\]{1,2}")
_KEY = re.compile(r"^\s*([A-Za-z0-9_.\"-]+)\s*=")
_TOML_LINE = re.compile(r"at line (\d+)")


def section(name: str, *roles: str) -> Callable[[T], T]:
    """Return a class decorator that declares a settings table for some roles, by default all."""

    def decorate(cls: T) -> T:
        if name in SECTIONS:
            raise ValueError(f"settings section {name!r} is declared twice")
        SECTIONS[name] = cls
        for role in roles or ROLES:
            ROLES[role].append(name)
        return cls

    return decorate


class Settings:
    """Validated settings of one process."""

    def __init__(self, role: str, sections: Mapping[str, Any]) -> None:
        self.role = role
        self._by_type = {type(value): value for value in sections.values()}

    def get(self, kind: type[V]) -> V:
        """Return the section with a type."""
        return cast("V", self._by_type[kind])


def load_settings(text: str, file: str) -> Settings:
    """Parse and validate a settings file.

    Parameters
    ----------
    text
        Content of the file.
    file
        Name of the file, used in findings.

    Raises
    ------
    FindingsError
        With every finding: invalid TOML, an unknown or missing key or table, a wrong type, a
        negative quantity, or an address that isn't an IP address.
    """
    try:
        document = tomllib.loads(text)
    except (ValueError, RecursionError) as cause:  # Nesting and numbers of any size, too.
        line = int(match[1]) if (match := _TOML_LINE.search(str(cause))) else 0
        raise FindingsError([Finding(Place(file, line, ""), str(cause))]) from cause
    lines = toml_lines(text)
    role = document.pop("role", None)
    if role not in ROLES:
        message = f"must be one of {', '.join(ROLES)}"
        raise FindingsError([Finding(Place(file, lines.get("role", 0), "role"), message)])
    findings = [
        Finding(Place(file, lines.get(name, 0), name), f"no such table for the role {role}")
        for name in document
        if name not in ROLES[role]
    ]
    values: dict[str, Any] = {}
    for name in ROLES[role]:
        value, problems = check_table(document.get(name, {}), SECTIONS[name])
        values[name] = value
        findings += [
            Finding(_place(file, lines, f"{name}.{key}" if key else name), message)
            for key, message in problems
        ]
    if findings:
        raise FindingsError(findings)
    return Settings(role, values)


def check_table(value: object, kind: type[V]) -> tuple[V | None, list[tuple[str, str]]]:
    """Validate a table against a named tuple type.

    Returns
    -------
    tuple
        The value, or ``None`` if there are problems, and the problems as pairs of key and message.
    """
    try:
        return _CONVERTER.structure(value, kind), []
    except cattrs.BaseValidationError as cause:
        return None, list(_problems(cause, ""))
    except (TypeError, ValueError) as cause:
        return None, [("", str(cause))]


def toml_lines(text: str) -> dict[str, int]:
    """Return the line number of each table and key of a TOML text.

    Entries of an array of tables are indexed: ``models[0].name``.
    """
    lines: dict[str, int] = {}
    counts: dict[str, int] = {}
    prefix = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if table := _TABLE.match(line):
            prefix = table[1].replace('"', "")
            if line.lstrip().startswith("[["):
                counts[prefix] = counts.get(prefix, -1) + 1
                prefix = f"{prefix}[{counts[prefix]}]"
            lines.setdefault(prefix, number)
        elif key := _KEY.match(line):
            name = key[1].replace('"', "")
            lines.setdefault(f"{prefix}.{name}" if prefix else name, number)
    return lines


def _place(file: str, lines: Mapping[str, int], key: str) -> Place:
    nearest_key = key
    while nearest_key and nearest_key not in lines:
        nearest_key = nearest_key.rpartition(".")[0]
    return Place(file, lines.get(nearest_key, 0), key)


def _problems(error: BaseException, path: str) -> Iterator[tuple[str, str]]:
    if isinstance(error, cattrs.BaseValidationError):
        for inner in error.exceptions:
            yield from _problems(inner, path + _path_segment(inner))
    elif isinstance(error, ForbiddenExtraKeysError):
        for key in sorted(error.extra_fields):
            yield f"{path}.{key}".lstrip("."), "unknown key"
    elif isinstance(error, KeyError):
        yield path.lstrip("."), "missing"
    else:
        yield path.lstrip("."), str(error)


def _path_segment(error: BaseException) -> str:
    for note in getattr(error, "__notes__", []):
        if isinstance(note, cattrs.AttributeValidationNote):
            return f".{note.name}"
        if isinstance(note, cattrs.IterableValidationNote):
            return f"[{note.index}]"
    return ""


def _structure_address(value: object, _kind: type[Address]) -> Address:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        address = ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError(f"must be an IP address and a port, not {value!r}") from None
    if not 0 <= number <= 65535:
        raise ValueError(f"port must be 0 to 65535, not {number}")
    return Address(str(address), number)


def _exact_type_hook(kind: type[Any], *accepted: type[Any]) -> Callable[[object, type[Any]], Any]:
    def structure(value: object, _: type[Any]) -> Any:
        if type(value) not in (kind, *accepted):
            shown = "a secret" if kind is Secret else f"{value!r:.200}"
            wanted = "str" if kind is Secret else kind.__name__
            raise TypeError(f"must be of type {wanted}, not {shown}")
        if kind is int and cast("int", value).bit_length() > MAX_INTEGER_BITS:
            raise ValueError(f"must be an integer of at most {MAX_INTEGER_BITS} bits")
        return kind(value)

    return structure


def _structure_float(value: object, _: type[float]) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise TypeError(f"must be a finite number, not {value!r:.200}")
    return float(value)


def _named_tuple_hook(kind: type[Any], converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    structure = namedtuple_dict_structure_factory(kind, converter, True, True)
    hints = get_type_hints(kind)

    def checked(value: object, _: type[Any]) -> Any:
        if not isinstance(value, dict):
            raise TypeError(f"must be a table, not {value!r:.200}")
        result = structure(value, kind)
        errors = list(_unit_errors(result, hints))
        if errors:
            raise cattrs.ClassValidationError("units", errors, kind)
        return result

    return checked


def _list_hook(kind: Any, converter: cattrs.Converter) -> Callable[[object, Any], Any]:
    item_kind = get_args(kind)[0]
    structure_item = converter.get_structure_hook(item_kind)

    def structure(value: object, _: Any) -> tuple[Any, ...]:
        if not isinstance(value, list | tuple):
            raise TypeError(f"must be a list, not {value!r:.200}")
        items: list[Any] = []
        errors: list[Exception] = []
        for index, item in enumerate(value):
            try:
                items.append(structure_item(item, item_kind))
            except Exception as cause:
                note = cattrs.IterableValidationNote(f"item {index}", index, item_kind)
                cause.__notes__ = [*getattr(cause, "__notes__", []), note]
                errors.append(cause)
                if len(errors) == MAX_ITEM_PROBLEMS:
                    break
        if errors:
            raise cattrs.IterableValidationError("items", errors, kind)
        return tuple(items)

    return structure


def _is_list(kind: Any) -> bool:
    return get_origin(kind) is tuple and get_args(kind)[1:] == (Ellipsis,)


def _unit_errors(value: Any, hints: Mapping[str, Any]) -> Iterator[Exception]:
    for name in hints:
        field = getattr(value, name)
        is_number = isinstance(field, int | float) and not isinstance(field, bool)
        if is_number and name.endswith(POSITIVE_SUFFIXES) and field < 0:
            cause = ValueError(f"must not be negative, not {field!r}")
            note = cattrs.AttributeValidationNote(f"{name}", name, type(field))
            cause.__notes__ = [note]
            yield cause


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True)
    converter.register_structure_hook_factory(
        lambda kind: is_namedtuple(kind) and kind is not Address, _named_tuple_hook
    )
    converter.register_structure_hook_factory(_is_list, _list_hook)
    converter.register_structure_hook_func(lambda kind: kind is Address, _structure_address)
    for plain in (str, int, bool):
        converter.register_structure_hook(plain, _exact_type_hook(plain))
    # Registered after str: the str hook would otherwise also handle the subclass and put the
    # secret value into findings.
    converter.register_structure_hook(Secret, _exact_type_hook(Secret, str))
    converter.register_structure_hook(float, _structure_float)
    return converter


_CONVERTER = _make_converter()


@section("process")
class ProcessSettings(NamedTuple):
    """Identity and location of the process."""

    vm: str
    """Name of the VM in the VM list."""
    data_centre: str
    """Name of the data centre."""
    region: str
    """Name of the region."""
    log_level: str = "info"
    """Minimum level of events that are logged: debug, info, warning or error."""


def section_names(role: str) -> Sequence[str]:
    """Return the tables allowed in a role's settings file."""
    return tuple(ROLES[role])
