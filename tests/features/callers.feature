Feature: The callers' interface

  Scenario: The OpenAI client library
    Given a cluster of 1 daemons and 1 engines
    When the OpenAI client makes a plain and a streamed chat completion
    Then both answers are complete
    And the models are listed
    And a wrong model is a NotFoundError with outcome "not_run"
    And a wrong token is an AuthenticationError

  Scenario: A stream that breaks is an error for the OpenAI client
    # Symptom: a program built on the client treats half an answer as complete.
    # Sequence: the engine crashes in mid-stream.
    # Cause: the error has a format that the client does not recognize.
    Given a cluster of 1 daemons and 1 engines
    When the OpenAI client reads a stream whose engine crashes
    Then the client raises an APIError

  Scenario: Bodies that are invalid, too long or too slow
    # Symptom: a caller's mistake uses up memory, or keeps a connection open
    #   forever.
    # Sequence: a caller sends bodies that are not JSON, lack a field, are too
    #   long or never end.
    # Cause: bodies are read without limits of size and time.
    Given a daemon that accepts bodies of up to 20000 bytes within 700 ms
    When invalid bodies are sent
      | body                                         | status |
      | not json                                     | 400    |
      | {"messages": []}                             | 400    |
      | {"model": "rulebook"}                        | 400    |
      | {"model": "rulebook", "messages": "x"}       | 400    |
      | {"model": "rulebook", "prompt": "x", "max_tokens": -1} | 400 |
    Then each is refused as not_run with the given status
    And a body that is too long gets 413
    And a body that never ends gets 408

  Scenario: Plain services receive the call unchanged
    Given a cluster of 1 daemons and a plain service
    When a PATCH with a query, custom headers and forged internal headers is sent
    Then the service received the method, path and custom headers
    And the service received none of the forged headers
    And the caller received the service's headers

  Scenario: A POST without an idempotency key, and a key used twice
    Given a cluster of 1 daemons and a plain service
    When a POST without a key is sent
    Then it is refused with status 400 and reason "idempotency_key_required"
    And a key that is reused for another body gets 422
