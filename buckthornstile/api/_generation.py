"""Requests to model engines, as callers and trainers write them."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from buckthornstile.base import BuckthornstileError, ErrorCode, ServiceName
from buckthornstile.messages import GenerationHints, PrefixBlock
from buckthornstile.samples import hash_prefix
from buckthornstile.topology import ModelName, TopologyView

GENERATION_PATH = "/v1/completions"
CHARACTERS_PER_TOKEN = 4
"""Characters of a prompt that are taken for one token."""
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 1 << 17
MAX_PROMPT_CHARACTERS = 1 << 20


class GenerationBody(BaseModel):
    """The body of a call to a model engine; other fields go on as they are.

    Args:
        prompt: The prompt.
        max_tokens: The most tokens of the answer.
        stream: Whether the answer comes as server-sent events.

    Example:
        >>> GenerationBody(prompt="set a tooth").max_tokens
        256
    """

    model_config = ConfigDict(frozen=True)
    prompt: Annotated[str, Field(max_length=MAX_PROMPT_CHARACTERS)]
    max_tokens: Annotated[int, Field(ge=1, le=MAX_TOKENS)] = DEFAULT_MAX_TOKENS
    stream: bool = False


@dataclass(frozen=True, slots=True)
class ParsedGeneration:
    """A parsed body, and what an engine must be told beside it."""

    body: GenerationBody
    generation: GenerationHints


def parse_generation(value: object, model: ModelName) -> ParsedGeneration:
    """Checks the body of a call to a model engine.

    Args:
        value: The decoded JSON value.
        model: The model that is to run it.

    Raises:
        BuckthornstileError: ``BODY_MALFORMED``, naming the first wrong field.
    """
    try:
        body = GenerationBody.model_validate(value)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        place = ".".join(str(part) for part in first["loc"]) or "body"
        raise BuckthornstileError(
            ErrorCode.BODY_MALFORMED, f"{place}: {first['msg']}"
        ) from error
    return ParsedGeneration(body, make_generation(model, body.prompt, body.max_tokens))


def make_generation(
    model: ModelName, prompt: str, max_tokens: int, expected_tokens: int = 0
) -> GenerationHints:
    """Makes what an engine is told of a prompt.

    Example:
        >>> make_generation("llm", "set a saw", 8).prompt_tokens
        3
    """
    tokens = len(prompt) // CHARACTERS_PER_TOKEN + 1
    return GenerationHints(
        model=model,
        prompt_tokens=tokens,
        max_tokens=max_tokens,
        expected_tokens=expected_tokens,
        prefix=(PrefixBlock(hash_prefix(prompt), tokens),),
    )


def find_model(
    view: TopologyView, service: ServiceName, trainer: str = ""
) -> ModelName:
    """Finds the model that a request of a service is for.

    It is the one named like the trainer, or the only one that the service holds.

    Args:
        view: The topology in force.
        service: The service.
        trainer: The trainer, or empty.

    Raises:
        BuckthornstileError: ``NO_UPSTREAM``: no engine of the service is known;
            ``BODY_MALFORMED``: it holds several models, none named like the trainer.
    """
    models = view.get_models_by_service().get(service, ())
    if trainer in models:
        return ModelName(trainer)
    if len(models) == 1:
        return models[0]
    if not models:
        raise BuckthornstileError(
            ErrorCode.NO_UPSTREAM, f"no engine of service {service!r} is known"
        )
    raise BuckthornstileError(
        ErrorCode.BODY_MALFORMED,
        f"service {service!r} holds {len(models)} models, none named {trainer!r}",
    )
