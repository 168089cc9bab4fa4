"""All runs of an experiment, on all cores; a matrix that was interrupted goes on."""

from __future__ import annotations

import hashlib
import multiprocessing
import os
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.testing.experiment.loading import load_plan
from sassafrastally.testing.experiment.play import play
from sassafrastally.testing.experiment.rows import RunRows, decode_rows, encode_rows

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

    from sassafrastally.testing.experiment.plan import ExperimentPlan


class Matrix(NamedTuple):
    """What is to be played, and where the rows lie."""

    plan: ExperimentPlan
    text: str
    """The plan's file, from which each process reads it."""
    folder: Path
    processes: int

    @property
    def digest(self) -> str:
        """Names the plan; rows of another one don't count."""
        return hashlib.sha256(self.text.encode()).hexdigest()[:16]

    def file(self, variant: str, seed: int) -> Path:
        """Return where a run's rows lie."""
        return self.folder / f"{variant}-{seed}.jsonl"

    def runs(self) -> Iterator[tuple[str, int]]:
        """Yield all variants and seeds; seeds in turn, so that pairs are whole early."""
        for seed in self.plan.seeds:
            for variant in self.plan.variant_names:
                yield variant, seed


def play_matrix(
    matrix: Matrix, tell: Callable[[str], None], *, may_resume: bool = False
) -> list[RunRows]:
    """Play all runs and keep their rows; return them in their order.

    Parameters
    ----------
    matrix
        The runs.
    tell
        Called with a line for each run that is done.
    may_resume
        Whether runs whose rows are there aren't played again.
    """
    matrix.folder.mkdir(parents=True, exist_ok=True)
    found = {run: rows for run in matrix.runs() if may_resume and (rows := _kept(matrix, *run))}
    runs = list(matrix.runs())
    left = [run for run in runs if run not in found]
    # Sets of strings are gone through in an order that depends on it.
    os.environ["PYTHONHASHSEED"] = "0"
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(matrix.processes, mp_context=context) as pool:
        playing = {pool.submit(_play, matrix.text, *run): run for run in left}
        for done, future in enumerate(as_completed(playing), start=len(found) + 1):
            variant, seed = run = playing[future]
            rows = found[run] = future.result()
            matrix.file(variant, seed).write_text(encode_rows(rows, matrix.digest))
            share = rows.served_share()
            tell(f"{done} of {len(runs)}: {variant} {seed}: {share:.3f}")
    return [found[run] for run in runs]


def _play(text: str, variant: str, seed: int) -> RunRows:
    return play(load_plan(text, ""), variant, seed)


def _kept(matrix: Matrix, variant: str, seed: int) -> RunRows | None:
    try:
        return decode_rows(matrix.file(variant, seed).read_text(), matrix.digest)
    except FileNotFoundError:
        return None
