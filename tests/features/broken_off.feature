Feature: Answers of servers that break off

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/broken_off.py states the failure that
    # it guards against.
    When the case "<case>" of "broken_off" is played

    Examples: real processes
      | case |
      | a stream cut inside an event is not complete |
      | a stream that a server closes makes no claim |
      | a whole answer without framing arrives whole |
      | a call cut inside its body is not complete |
      | a stream that ends after its head is no success |
      | an answer through another daemon makes no claim |
      | an old client sees that a stream broke |
      | an answer without a body ends with its head |
      | a caller may leave an answer without framing |

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/odd_answers.py states the failure that
    # it guards against.
    When the case "<case>" of "odd_answers" is played

    Examples: bytes of one server
      | case |
      | an early answer that a reset ends is not complete |
      | an early stream that a reset ends is not complete |
      | a status that is none is no answer |
      | a store's status that is none is an error |
      | a report's status that is none is no report |
