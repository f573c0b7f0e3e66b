@promise_whole_streams
Feature: Every stream a caller receives is complete and in order

  Background:
    Given a cluster of 2 daemons and an engine behind a link

  Scenario Outline: The engine's connection misbehaves in mid-stream
    # Symptom: words are missing, doubled or swapped in an answer that looks
    #   complete.
    # Sequence: a stream runs; the connection to the engine <fault>.
    # Cause: frames are relayed unchecked, or a closed connection is treated as
    #   the end of the stream.
    When a stream of 60 tokens is read while the engine's connection <fault>
    Then the caller has tokens 1 to 60 in order and the end mark

    Examples:
      | fault                     |
      | is cut                    |
      | loses a frame             |
      | doubles each frame        |
      | stalls forever            |
      | stalls forever twice      |

  Scenario Outline: The engine is lost in mid-stream
    # Symptom: half an answer looks complete, or its second half belongs to a
    #   different generation.
    # Sequence: a stream runs; the engine <fault>.
    # Cause: the end of the connection is treated as the end of the stream, or
    #   the stream is resumed on an engine that no longer has it.
    When a stream of 600 tokens is read while the engine <fault>
    Then the caller has the first tokens in order
    And the stream ends with an error whose outcome is "unknown"
    And the stream has no end mark

    Examples:
      | fault                   |
      | crashes and comes back  |
      | is killed               |

  Scenario: The daemon is killed in mid-stream
    # Symptom: an answer stops and has to be requested again.
    # Sequence: a stream runs through a daemon; the daemon is killed with
    #   SIGKILL; the caller resumes at another daemon with its resume token.
    # Cause: only the dead daemon had the state of the stream.
    When a stream of 150 tokens is read while the daemon is killed
    And the caller resumes the stream through daemon 2
    Then the caller has tokens 1 to 150 in order and the end mark

  Scenario: The daemon is paused in mid-stream
    # Symptom: a stream ends early after a pause of the daemon's process.
    # Sequence: a stream runs; the daemon gets SIGSTOP, every timeout passes,
    #   the daemon gets SIGCONT.
    # Cause: the daemon counts its own pause as time without frames from the
    #   engine.
    When a stream of 150 tokens is read while the daemon is paused for 3 s
    Then the caller has tokens 1 to 150 in order and the end mark

  Scenario: A forged resume token, and one of another workspace
    # Symptom: an unauthorized caller reads somebody's answer.
    # Sequence: a caller sends a changed token, or its own token for a stream
    #   of another workspace.
    # Cause: a token's signature or workspace is not checked.
    When a stream of 50 tokens is started
    Then resuming it with a changed token is refused with status 403
    And resuming it as workspace "fair" is refused with status 403

  Scenario: A slow caller beside a fast one
    # Symptom: one caller that does not read blocks all others, or the daemon's
    #   memory grows until it is killed.
    # Sequence: a caller opens a long stream and does not read; another reads.
    # Cause: one reader serves all streams, or a queue is unbounded.
    When a caller opens a stream of 300000 tokens and does not read it
    And a stream of 60 tokens is read while the engine's connection has no fault
    Then the caller has tokens 1 to 60 in order and the end mark
    And the daemon's memory grew by less than 20 MB
