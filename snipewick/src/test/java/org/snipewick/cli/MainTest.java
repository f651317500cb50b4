package org.snipewick.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MainTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @ParameterizedTest
  @CsvSource({
    "version, SUCCESS",
    "--help, SUCCESS",
    "settings --help, SUCCESS",
    "catalogue --help, SUCCESS",
    "catalogue put --help, SUCCESS",
    "endpoint role --help, SUCCESS",
    "nonsense, USAGE",
    "settings check, USAGE",
    "status --address 127.0.0.1:1, FAILED"
  })
  void shouldReturnExitCodeOfOutcomeWhenCommandEnds(String line, ExitCode expected) {
    assertThat(run(line.split(" "))).isEqualTo(expected);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "entry",
        "settings-check",
        "catalogue-get",
        "catalogue-put",
        "catalogue-history",
        "endpoint-load",
        "endpoint-unload",
        "endpoint-role",
        "status",
        "timeline",
        "stop",
        "version"
      })
  void shouldPrintUsageWhenHelpIsRequested(String command) {
    assertThat(run(command, "--help")).isEqualTo(ExitCode.SUCCESS);
    assertThat(out.toString(StandardCharsets.UTF_8)).contains("Usage: " + command);
  }

  @Test
  void shouldRefuseWhenSettingsAreInvalid(@TempDir Path directory) throws IOException {
    Path file = Files.writeString(directory.resolve("a.yaml"), "instance: 7\n");
    assertThat(run("settings", "check", file.toString())).isEqualTo(ExitCode.REFUSED);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains("a.yaml:1: /instance");
  }

  private ExitCode run(String... arguments) {
    return Main.run(
        arguments,
        new Console(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8)));
  }
}
