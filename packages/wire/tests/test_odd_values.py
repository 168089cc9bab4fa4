"""Values that no frame can carry."""

from __future__ import annotations

import pytest

from sassafrastally.wire.codec import BadFrame, encode_frame
from sassafrastally.wire.messages import Frame, LoadReport


class TestFrames:
    def test_a_text_that_cannot_be_encoded_is_a_bad_frame(self) -> None:
        """Guards against a process that ends by one text in a message to its peers."""
        with pytest.raises(BadFrame):
            encode_frame(Frame(0, 1, LoadReport(models=("\ud800",))))
