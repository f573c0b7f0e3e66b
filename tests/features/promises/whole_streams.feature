@promise_whole_streams
Feature: Every stream a caller receives is complete and in order

  Background:
    Given a cluster of 2 daemons and an engine behind a link

  Scenario Outline: The engine's connection misbehaves in mid-stream
    # Symptom: words are missing, doubled or swapped in an answer that looks
    #   whole.
    # Sequence: a stream runs; the connection to the engine <trouble>.
    # Cause: frames relayed as they come, or a closed connection taken for the
    #   end of the stream.
    When a stream of 60 tokens is read while the engine's connection <trouble>
    Then the caller has tokens 1 to 60 in order and the end mark

    Examples:
      | trouble                   |
      | is cut                    |
      | loses a frame             |
      | doubles each frame        |
      | goes silent for good      |
      | goes silent for good twice |

  Scenario Outline: The engine is lost in mid-stream
    # Symptom: half an answer looks whole, or its second half comes from a
    #   different generation.
    # Sequence: a stream runs; the engine <trouble>.
    # Cause: the end of the connection taken for the end of the stream, or the
    #   stream resumed on an engine that no longer has it.
    When a stream of 600 tokens is read while the engine <trouble>
    Then the caller has a beginning of the tokens in order
    And the stream ends with an error that says the outcome is "unknown"
    And it has no end mark

    Examples:
      | trouble                 |
      | crashes and comes back  |
      | is killed               |

  Scenario: The daemon is killed in mid-stream
    # Symptom: an officer's answer stops and has to be asked for anew.
    # Sequence: a stream runs through a daemon; the daemon is killed with
    #   SIGKILL; the caller asks another daemon with its resume token.
    # Cause: the state of the stream was in the dead daemon alone.
    When a stream of 150 tokens is read while the daemon is killed
    And the caller resumes the stream through daemon 2
    Then the caller has tokens 1 to 150 in order and the end mark

  Scenario: The daemon is paused in mid-stream
    # Symptom: a stream ends early after a pause of the daemon's process.
    # Sequence: a stream runs; the daemon gets SIGSTOP, every time-out passes,
    #   SIGCONT.
    # Cause: silence during the own pause taken for silence of the engine.
    When a stream of 150 tokens is read while the daemon is paused for 3 s
    Then the caller has tokens 1 to 150 in order and the end mark

  Scenario: A forged resume token, and one of another workspace
    # Symptom: a stranger reads a household's answer.
    # Sequence: a caller sends a changed token, or its own token for a stream
    #   of another workspace.
    # Cause: a token that is believed without its signature or its workspace.
    When a stream of 50 tokens is begun
    Then resuming it with a changed token is refused with status 403
    And resuming it as workspace "fair" is refused with status 403

  Scenario: A slow caller beside a fast one
    # Symptom: one caller that does not read stops all others, or the daemon's
    #   memory grows until it is killed.
    # Sequence: a caller opens a long stream and does not read; another reads.
    # Cause: one reader for all streams, or a queue without a bound.
    When a caller opens a stream of 300000 tokens and does not read it
    And a stream of 60 tokens is read while the engine's connection is left alone
    Then the caller has tokens 1 to 60 in order and the end mark
    And the daemon's memory grew by less than 20 MB
