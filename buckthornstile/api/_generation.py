"""Parsing of generation requests and building of generation hints for engines."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from buckthornstile.base import BuckthornstileError, ErrorCode, ServiceName
from buckthornstile.messages import GenerationHints, PrefixBlock
from buckthornstile.samples import hash_prefix
from buckthornstile.topology import ModelName, TopologyView

GENERATION_PATH = "/v1/completions"
CHARACTERS_PER_TOKEN = 4
"""Number of prompt characters that are estimated as one token."""
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 1 << 17
MAX_PROMPT_CHARACTERS = 1 << 20


class GenerationBody(BaseModel):
    """The body of a call to a model engine; other fields are forwarded unchanged.

    Args:
        prompt: The prompt.
        max_tokens: Maximum number of tokens to generate.
        stream: Whether the response is a stream of server-sent events.

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
    """A parsed body and the generation hints that are sent to an engine with it."""

    body: GenerationBody
    hints: GenerationHints


def parse_generation(value: object, model: ModelName) -> ParsedGeneration:
    """Validates the body of a call to a model engine.

    Args:
        value: The decoded JSON value.
        model: The model that runs the call.

    Raises:
        BuckthornstileError: ``BODY_MALFORMED``; the message names the first invalid
            field.
    """
    try:
        body = GenerationBody.model_validate(value)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        field_path = ".".join(str(part) for part in first["loc"]) or "body"
        raise BuckthornstileError(
            ErrorCode.BODY_MALFORMED, f"{field_path}: {first['msg']}"
        ) from error
    return ParsedGeneration(
        body, make_generation_hints(model, body.prompt, body.max_tokens)
    )


def make_generation_hints(
    model: ModelName, prompt: str, max_tokens: int, expected_tokens: int = 0
) -> GenerationHints:
    """Builds the generation hints of a prompt.

    Example:
        >>> make_generation_hints("llm", "set a saw", 8).prompt_tokens
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
    """Returns the model that a request to a service is for.

    This is the model with the name of the trainer, or else the only model of the
    service.

    Args:
        view: The topology view.
        service: The service.
        trainer: The name of the trainer, or empty.

    Raises:
        BuckthornstileError: ``NO_UPSTREAM``: no engine of the service is known;
            ``BODY_MALFORMED``: the service has several models, and none has the name
            of the trainer.
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
        f"service {service!r} has {len(models)} models, none of them named {trainer!r}",
    )
