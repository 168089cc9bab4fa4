"""The two programs: ``sassafrastallyd``, one process, and ``sassafrastally``, for operators."""
