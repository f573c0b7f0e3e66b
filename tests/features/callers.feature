Feature: What callers see

  Scenario: The registry's OpenAI client
    Given a cluster of 1 daemons and 1 engines
    When the OpenAI client asks for a whole and for a streamed chat completion
    Then both answers are whole
    And the models are listed
    And a wrong model is a NotFoundError with outcome "not_run"
    And a wrong token is an AuthenticationError

  Scenario: A stream that breaks is an error for the OpenAI client
    # Symptom: a program built on the client takes half an answer for whole.
    # Sequence: the engine crashes in mid-stream.
    # Cause: an error in a form that the client does not know.
    Given a cluster of 1 daemons and 1 engines
    When the OpenAI client reads a stream whose engine crashes
    Then the client raises an APIError

  Scenario: Bodies that are wrong, long or slow
    # Symptom: a caller's mistake costs memory, or a connection for ever.
    # Sequence: bodies that are no JSON, lack a field, are too long, never end.
    # Cause: reading without limits.
    Given a daemon that takes bodies of 20000 bytes within 700 ms
    When wrong bodies are sent
      | body                                         | status |
      | not json                                     | 400    |
      | {"messages": []}                             | 400    |
      | {"model": "rulebook"}                        | 400    |
      | {"model": "rulebook", "messages": "x"}       | 400    |
      | {"model": "rulebook", "prompt": "x", "max_tokens": -1} | 400 |
    Then each is refused as not run with its status
    And a body that is too long gets 413
    And a body that never ends gets 408

  Scenario: Plain services get the call as it was made
    Given a cluster of 1 daemons and a plain service
    When a PATCH with a query, own headers and smuggled headers is sent
    Then the service saw method, path and own headers
    And the service saw none of the smuggled headers
    And the caller got the service's own headers

  Scenario: A call that may not be repeated without a key
    Given a cluster of 1 daemons and a plain service
    When a POST without a key is sent
    Then it is refused with status 400 and reason "idempotency_key_required"
    And a key used again for another body gets 422
