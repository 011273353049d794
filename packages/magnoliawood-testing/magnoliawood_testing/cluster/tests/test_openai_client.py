import uuid

import openai
import pytest

from magnoliawood.programs import message as conversation
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.standins import reference

PROMPT = [{'role': 'user', 'content': 'When does the next truck leave?'}]


@pytest.fixture
def client(deployment):
    address = deployment.entries['entry-1'].http
    with openai.OpenAI(
        base_url=f'http://{address}/v1',
        api_key='token-of-red-clay',
        max_retries=0,
    ) as library_client:
        yield library_client


def expected_answer(messages, max_tokens=1024):
    history = [conversation.Message(**m) for m in messages]
    return reference.answer_text(history, max_tokens)


def test_models_are_listed(client):
    assert [model.id for model in client.models.list()] == ['model-a']


def test_plain_completion(client):
    completion = client.chat.completions.create(
        model='model-a', messages=PROMPT
    )
    (choice,) = completion.choices
    assert choice.message.content == expected_answer(PROMPT)
    assert choice.finish_reason == 'stop'
    assert completion.usage.completion_tokens > 0


def test_streamed_completion(client):
    chunks = client.chat.completions.create(
        model='model-a', messages=PROMPT, stream=True
    )
    texts = [chunk.choices[0].delta.content or '' for chunk in chunks]
    assert ''.join(texts) == expected_answer(PROMPT)


def test_conversation_with_a_program_header(client):
    headers = {'x-magnoliawood-program': f'chat-{uuid.uuid4().hex}'}
    messages = list(PROMPT)
    for text in ('And the one after?', 'Thanks'):
        completion = client.chat.completions.create(
            model='model-a', messages=messages, extra_headers=headers
        )
        content = completion.choices[0].message.content
        assert content == expected_answer(messages)
        messages.append({'role': 'assistant', 'content': content})
        messages.append({'role': 'user', 'content': text})


def test_repeat_with_a_program_header_gets_the_same_response(client):
    headers = {'x-magnoliawood-program': f'chat-{uuid.uuid4().hex}'}
    contents = {
        client.chat.completions.create(
            model='model-a', messages=PROMPT, extra_headers=headers
        )
        .choices[0]
        .message.content
        for _ in range(2)
    }
    assert contents == {expected_answer(PROMPT)}


def test_different_history_is_rejected(client):
    headers = {'x-magnoliawood-program': f'chat-{uuid.uuid4().hex}'}
    client.chat.completions.create(
        model='model-a', messages=PROMPT, extra_headers=headers
    )
    other = [{'role': 'user', 'content': 'Something else'}, *PROMPT]
    with pytest.raises(openai.ConflictError) as caught:
        client.chat.completions.create(
            model='model-a', messages=other, extra_headers=headers
        )
    assert caught.value.code == 'call_mismatch'


def test_unknown_model_raises_not_found_error(client):
    with pytest.raises(openai.NotFoundError) as caught:
        client.chat.completions.create(model='model-z', messages=PROMPT)
    assert caught.value.code == 'unknown_model'


def test_wrong_key_raises_authentication_error(client):
    with pytest.raises(openai.AuthenticationError):
        client.with_options(api_key='wrong').models.list()


def test_closing_a_stream_cancels_the_call(client, deployment):
    for name in ('engine-1', 'engine-2'):
        deployment.set_faults(deployment.upstreams[name], step_seconds=0.3)
    try:
        stream = client.chat.completions.create(
            model='model-a', messages=PROMPT, stream=True
        )
        next(iter(stream))
        stream.close()
        deployments.wait_until(
            lambda: (
                not any(
                    deployment.engine_state(name)['sequences']
                    for name in ('engine-1', 'engine-2')
                )
            ),
            'engines without work',
            timeout_seconds=2.0,
        )
    finally:
        for name in ('engine-1', 'engine-2'):
            deployment.set_faults(
                deployment.upstreams[name], step_seconds=0.005
            )
