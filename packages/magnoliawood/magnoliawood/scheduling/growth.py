"""How long the prompts of each class of work become."""

_DECAY = 0.99


class PromptGrowth:
    """Slowly falling maximum of the prompts of each class.

    Explanation
    ===========

    Programs under way show how far their class grows before the first of
    them ends, and one that ended long ago is forgotten.

    Examples
    ========

    >>> growth = PromptGrowth()
    >>> growth.record_prompt_length('chat', 1_000)
    >>> growth.record_prompt_length('chat', 100)
    >>> growth.expected_tokens('chat')
    990
    >>> growth.expected_tokens('ping')
    0
    """

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}

    def record_prompt_length(
        self, work_class: str, prompt_tokens: int
    ) -> None:
        """Take in the length of a prompt."""
        known = self._tokens.get(work_class, 0.0) * _DECAY
        self._tokens[work_class] = max(known, float(prompt_tokens))

    def expected_tokens(self, work_class: str) -> int:
        """Return the length that a program's prompts will reach."""
        return int(self._tokens.get(work_class, 0.0))
