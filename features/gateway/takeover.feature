Feature: A silent stream is taken over only by an upstream that goes on with it

  Scenario Outline: Which attempt goes on with a stream
    Given a silent attempt that <current>
    And further attempts that <standbys>
    When a takeover is sought
    Then <winner> goes on after <time> s and all other attempts are closed
    And two upstreams have worked on the stream at once for at most 0.4 s

    Examples:
      | current                | standbys                                              | winner             | time |
      | goes on after 1 s      | begin after 2 s                                       | the silent attempt | 1    |
      | goes on after 1 s      | are rejected                                          | the silent attempt | 1    |
      | goes on after 1 s      | break after 0.2 s                                     | the silent attempt | 1    |
      | goes on after 1 s      | can't be started                                      | the silent attempt | 1    |
      | goes on after 3 s      | are rejected, then begin after 0.5 s                  | attempt 2          | 0.5  |
      | goes on after 3 s      | break after 0.2 s, then begin after 0.5 s             | attempt 2          | 0.7  |
      | goes on after 9 s      | begin after 0.5 s                                     | attempt 1          | 0.5  |
      | goes on after 9 s      | reply and stay silent, then begin after 0.5 s         | attempt 2          | 0.8  |
      | goes on after 9 s      | send nothing, then begin after 0.5 s                  | attempt 2          | 4.5  |
      | breaks after 0.3 s     | begin after 0.5 s                                     | attempt 1          | 0.5  |
      | breaks after 0.3 s     | break after 0.5 s, then begin after 0.5 s             | none               | 0.5  |
      | breaks after 0.3 s     | can't be started                                      | none               | 0.3  |

  Scenario: A request whose upstream is late goes to another one that has replied
    Given an attempt without a reply that goes on after 9 s
    And further attempts that reply and stay silent
    When a takeover is sought
    Then attempt 1 goes on after 0.3 s and all other attempts are closed

  Scenario: No stream is sent to an upstream that is silent itself
    Given a gateway with two upstreams
    And both upstreams are silent for 1.5 s within each stream
    When callers open 6 streams at /stream/1 at once
    Then each caller gets events 1 to 6 after one run
