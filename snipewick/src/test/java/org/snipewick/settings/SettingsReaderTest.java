package org.snipewick.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsReaderTest {
  private static final String VALID =
      """
      instance: wien-a.1
      failureDomain: wien-a
      failureDomains: [wien-a, linz]
      callers: {host: 127.0.0.1, port: 8080}
      operators: {host: 127.0.0.1, port: 8081, accounts: []}
      peers: {host: 127.0.0.1, port: 8082}
      platform: {host: 127.0.0.1, port: 9000}
      """;

  private final SettingsReader reader = SettingsReader.of();

  @Test
  void shouldUseDefaultsWhenOptionalKeysAreMissing() {
    SettingsResult result = reader.parse("a.yaml", VALID);
    assertThat(result).isInstanceOf(SettingsResult.Valid.class);
    Settings settings = ((SettingsResult.Valid) result).settings();
    assertThat(settings.callers().threads()).isEqualTo(2);
    assertThat(settings.keys().retentionMillis()).isEqualTo(120_000);
    assertThat(settings.instance().value()).isEqualTo("wien-a.1");
  }

  @Test
  void shouldReadMetricsAddressWhenGiven() {
    SettingsResult result =
        reader.parse("a.yaml", VALID.concat("metrics: {host: 127.0.0.1, port: 8083}\n"));
    assertThat(result).isInstanceOf(SettingsResult.Valid.class);
    assertThat(((SettingsResult.Valid) result).settings().metrics())
        .contains(new Settings.Address("127.0.0.1", 8083));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "'' | 127.0.0.1 | 8082",
        "', announced: {host: 10.0.0.7, port: 99}' | 10.0.0.7 | 99"
      })
  void shouldAnnounceListenAddressWhenNoOtherIsGiven(String key, String host, int port) {
    SettingsResult result =
        reader.parse("a.yaml", VALID.replace("port: 8082}", "port: 8082" + key + "}"));
    assertThat(result).isInstanceOf(SettingsResult.Valid.class);
    assertThat(((SettingsResult.Valid) result).settings().peers().announced())
        .isEqualTo(new Settings.Address(host, port));
  }

  @Test
  void shouldReportAllFaultsWithLineAndPathWhenSeveralSettingsAreInvalid() {
    String text =
        VALID
            .replace("port: 8080", "port: eighty")
            .replace("port: 8082", "port: 99999")
            .replace("[wien-a, linz]", "[linz]")
            .replace("port: 9000", "port: 9000, port: 9001")
            .concat("colour: red\n");
    SettingsResult result = reader.parse("a.yaml", text);
    assertThat(result).isInstanceOf(SettingsResult.Invalid.class);
    assertThat(((SettingsResult.Invalid) result).describe())
        .contains("a.yaml:3: /failureDomains: must contain wien-a")
        .contains("a.yaml:4: /callers/port")
        .contains("a.yaml:6: /peers/port")
        .contains("a.yaml:7: /platform/port: duplicate key, already defined on line 7")
        .contains("a.yaml:8: /colour: unknown key")
        .hasLineCount(5);
  }

  /** Text in the valid settings, its replacement, and the start of the expected message. */
  @ParameterizedTest(name = "{2}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        // unknown keys
        "instance: wien-a.1 | ~instance: wien-a.1\ncolour: red~ | 2: /colour: unknown key",
        "port: 8080 | port: 8080, ports: 1 | 4: /callers/ports: unknown key",
        "accounts: [] | accounts: [], tls: no | 5: /operators/tls: unknown key",
        "accounts: [] | accounts: [{name: a, tokenSha256: SHA, role: x}]"
            + " | 5: /operators/accounts/0/role: unknown key",
        "port: 8082 | ~port: 8082, seeds: [{instance: a, failureDomain: b,\n"
            + "  host: 127.0.0.1, port: 1, age: 3}]~ | 7: /peers/seeds/0/age: unknown",
        "port: 9000 | port: 9000, timeout: 5 | 7: /platform/timeout: unknown",
        "instance: wien-a.1 | ~instance: wien-a.1\nkeys: {retention: 5}~ | 2: /keys/retention: unk",
        "instance: wien-a.1 | ~instance: wien-a.1\nlog: {file: x}~ | 2: /log/file: unknown key",
        // missing keys
        "instance: wien-a.1 | ~~ | 2: required property 'instance'",
        ", port: 9000 | ~~ | 7: /platform: required property",
        // wrong types
        "instance: wien-a.1 | instance: 7 | 1: /instance: integer found",
        "instance: wien-a.1 | instance: [wien-a.1] | 1: /instance: array found",
        "[wien-a, linz] | wien-a | 3: /failureDomains: string fo",
        "[wien-a, linz] | [wien-a, 7] | 3: /failureDomains/1: integer",
        "port: 8080 | port: eighty | 4: /callers/port: string found",
        "port: 8080 | port: 80.5 | 4: /callers/port: number found",
        "port: 8080 | port: 8080, threads: null | 4: /callers/threads: null found",
        "accounts: [] | accounts: none | 5: /operators/accounts: string",
        "accounts: [] | accounts: [anna] | 5: /operators/accounts/0: str",
        "{host: 127.0.0.1, port: 8082} | 8082 | 6: /peers: integer found",
        "port: 9000 | port: 9000, writesPerSecond: many | 7: /platform/writesPerSecond:",
        // values out of range
        "port: 8080 | port: 0 | 4: /callers/port: must have a m",
        "port: 8081 | port: 65536 | 5: /operators/port: must have a",
        "port: 8080 | port: 8080, threads: 65 | 4: /callers/threads: must have",
        "port: 8080 | port: 8080, maxBodyBytes: 1023 | 4: /callers/maxBodyBytes: must",
        "port: 8080 | port: 8080, drainMillis: -1 | 4: /callers/drainMillis: must",
        "port: 9000 | port: 9000, timeoutMillis: 9 | 7: /platform/timeoutMillis: mu",
        "port: 9000 | port: 9000, readsPerSecond: 0 | 7: /platform/readsPerSecond:",
        "port: 9000 | port: 99999999999999999999 | 7: /platform/port: must have a",
        "instance: wien-a.1 | instance: wien a | 1: /instance: does not match",
        "accounts: [] | accounts: [{name: a, tokenSha256: A1}]"
            + " | 5: /operators/accounts/0/tokenSha256: does not match",
        "[wien-a, linz] | [] | 3: /failureDomains: must have",
        "[wien-a, linz] | [wien-a, wien-a] | 3: /failureDomains: must have",
        "[wien-a, linz] | [linz] | 3: /failureDomains: must contai",
        "instance: wien-a.1 | ~instance: wien-a.1\nlog: {level: loud}~ | 2: /log/level: does not",
        "host: 127.0.0.1, port: 8080 | host: entry.example, port: 1 | 4: /callers/host: must be",
        "host: 127.0.0.1, port: 9000 | host: 127.0.0.256, port: 1 | 7: /platform/host: must be an",
        "host: 127.0.0.1, port: 8082 | host: '', port: 1 | 6: /peers/host: must be an IP",
        // duplicate keys
        "port: 8080 | port: 8080, port: 8090 | 4: /callers/port: duplicate key, already",
        "instance: wien-a.1 | ~instance: wien-a.1\ninstance: b~ | 2: /instance: duplicate key, al"
      })
  void shouldReportFaultWithFileLineAndPathWhenSettingIsInvalid(
      String text, String replacement, String expected) {
    String changed = replacement.replace("SHA", "a".repeat(64));
    assertThat(VALID).contains(text);

    SettingsResult result = reader.parse("a.yaml", VALID.replace(text, changed));

    assertThat(result).isInstanceOf(SettingsResult.Invalid.class);
    assertThat(((SettingsResult.Invalid) result).describe())
        .startsWith("a.yaml:" + expected)
        .hasLineCount(1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"::1", "fe80::1", "10.0.0.1", "0.0.0.0", "255.255.255.255"})
  void shouldAcceptHostWhenItIsAnAddress(String host) {
    String text = VALID.replace("host: 127.0.0.1, port: 8080", "host: '" + host + "', port: 8080");
    assertThat(reader.parse("a.yaml", text)).isInstanceOf(SettingsResult.Valid.class);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"instance: [|1", "''|0", "- 1|1"})
  void shouldBeInvalidWhenTextIsNotSettings(String text, int line) {
    SettingsResult result = reader.parse("a.yaml", text);
    assertThat(result).isInstanceOf(SettingsResult.Invalid.class);
    assertThat(((SettingsResult.Invalid) result).faults().get(0).line())
        .isGreaterThanOrEqualTo(line);
  }

  @Test
  void shouldBeInvalidWhenOwnFailureDomainIsNotListed() {
    SettingsResult result = reader.parse("a.yaml", VALID.replace("[wien-a, linz]", "[linz]"));
    assertThat(result).isInstanceOf(SettingsResult.Invalid.class);
  }

  @Test
  void shouldBeInvalidWhenFileIsMissing() {
    assertThat(reader.read(Path.of("missing.yaml"))).isInstanceOf(SettingsResult.Invalid.class);
  }
}
