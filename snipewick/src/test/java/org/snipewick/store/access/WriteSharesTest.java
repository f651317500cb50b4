package org.snipewick.store.access;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WriteSharesTest {
  private static final StoreSettings SETTINGS =
      StoreSettings.of("127.0.0.1", 1).withAllWritesPerSecond(320);

  @ParameterizedTest(name = "{0} instances in {1} domains")
  @CsvSource({
    "1, 1, 40, 0",
    "8, 4, 40, 0",
    "8, 3, 40, 0",
    "16, 16, 20, 0",
    "63, 16, 5.0794, 0",
    "64, 16, 2.5, 10",
    "340, 16, 0.4706, 10",
    "340, 3, 0.4706, 39.5294"
  })
  void shouldStayWithinSharedRateWhenEveryShareIsUsed(
      int instances, int domains, double directPerSecond, double writerPerSecond) {
    WriteShares shares = WriteShares.withWriters(SETTINGS, instances, domains);

    assertThat(shares.directPerSecond()).isCloseTo(directPerSecond, within(0.0001));
    assertThat(shares.writerPerSecond()).isCloseTo(writerPerSecond, within(0.0001));
    assertThat(shares.directPerSecond() * instances + shares.writerPerSecond() * domains)
        .isLessThanOrEqualTo(320.000001);
  }
}
