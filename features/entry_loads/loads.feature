Feature: The controller orders loads of versions under its lease

  Background:
    Given an engine that has loaded "v1" and shall serve "v1 v2"

  Scenario Outline: <case>
    Given that the <part> is <state>
    When the controller runs its loads for <time> s
    Then the agent was given <orders> and <asked> loads were reserved

    Examples:
      | case                                        | part    | state                 | time | orders    | asked |
      | A load is ordered once                      | nothing | wrong                 | 100  | load v2   | 1     |
      | An order without effect is given again      | engine  | losing orders         | 130  | load v2x2 | 2     |
      | The lease is lost before the task           | lease   | lost                  | 100  | none      | 0     |
      | The lease is lost while the store is asked  | lease   | lost in the store     | 100  | none      | 1     |
      | The weight store asks to wait               | store   | refusing for 30 s     | 25   | none      | 1     |
      | The weight store grants after its wait      | store   | refusing for 30 s     | 60   | load v2   | 2     |
      | The weight store fails                      | store   | failing               | 12   | none      | 3     |
      | The weight store hangs                      | store   | hanging               | 12   | none      | 2     |
      | A silent agent is asked again               | agent   | silent at first       | 100  | load v2x2 | 2     |
      | An agent without reply is asked ever less   | agent   | silent                | 100  | load v2x5 | 5     |
      | A hanging agent is asked again              | agent   | hanging at first      | 100  | load v2x2 | 2     |
      | The engine's want of memory is waited out   | engine  | out of memory         | 100  | load v2   | 1     |
      | An engine that tells nothing is let alone   | engine  | telling nothing       | 100  | none      | 0     |
      | An engine that is down is let alone         | engine  | down                  | 100  | none      | 0     |
      | An engine out of the subset is let alone    | engine  | out of the subset     | 100  | none      | 0     |
      | A withdrawn version is unloaded             | engine  | holding a withdrawn   | 100  | unload v1 | 0     |
      | An engine that keeps a withdrawn version    | engine  | keeping a withdrawn   | 15   | unload v1x2 | 0   |
      | The lease is lost before an unload          | lease   | lost with a withdrawn | 100  | none      | 0     |

  Scenario: A former controller's order is refused by the agent
    Given that the engine's agent has seen the number 8
    When the controller with number 7 runs its loads for 5 s
    Then the engine was given no order

  Scenario Outline: An entry takes "<serves>" from a report of "<loaded>"
    When the agent reports that "<loaded>" is loaded and then the revision changes
    Then the entry's row serves "<serves>"

    Examples:
      | loaded  | serves |
      | unknown | v1 v2  |
      | nothing |        |
      | v2      | v2     |
      | v2 v9   | v2     |

  Scenario: A served engine gets the version that it lacks and then answers it
    Given a served engine that starts with "v1" of "v1 v2"
    When a chat asks for "v2" as soon as the entry knows that it is served
    Then it is answered by "v2" and the engine was given one order
