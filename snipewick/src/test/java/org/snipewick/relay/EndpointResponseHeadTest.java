package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.placement.ReportedLoad;

/** Guards against load reports that are dropped although a part of them can be used. */
class EndpointResponseHeadTest {
  @Test
  void shouldReadWorkTimeWhenLoadHasFourValues() {
    assertThat(load("3, 1,7,250")).contains(ReportedLoad.of(3, 1, 7).withWorkTime(250));
  }

  @ParameterizedTest
  @ValueSource(strings = {"3,1,7", "3,1,7,", "3,1,7,x", "3,1,7,0", "3,1,7,-5", "3,1,7,99999999999"})
  void shouldReadLoadWithoutWorkTimeWhenWorkTimeIsMissingOrMalformed(String text) {
    assertThat(load(text)).contains(ReportedLoad.of(3, 1, 7));
  }

  @Test
  void shouldIgnoreFurtherValuesWhenLoadHasMoreThanFour() {
    assertThat(load("3,1,7,80,x,")).contains(ReportedLoad.of(3, 1, 7).withWorkTime(80));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "3,1", "a,b,c,100", "-1,0,4,100", "0,0,0,100"})
  void shouldIgnoreLoadWhenOneOfFirstThreeValuesIsMalformed(String text) {
    assertThat(load(text)).isEmpty();
  }

  private static Optional<ReportedLoad> load(String text) {
    Headers headers = Headers.of(List.of(Map.entry(RelayFixture.NAMES.load(), text)));
    return new EndpointResponseHead(200, headers).reportedLoad(RelayFixture.NAMES);
  }
}
