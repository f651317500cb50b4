package org.snipewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.snipewick.settings.SettingsFault;
import org.snipewick.settings.SettingsReader;
import org.snipewick.settings.SettingsResult;

/** Checks a settings file and prints all faults found in it. */
@Parameters(commandDescription = "check a settings file")
final class SettingsCheckCommand implements Command {
  @Parameter(description = "FILE", required = true, converter = PathConverter.class)
  private Path file;

  @Parameter(names = "--json", description = "print JSON")
  private boolean json;

  @Override
  public ExitCode run(Console console) {
    SettingsResult result = SettingsReader.of().read(file);
    if (json) {
      console.printJson(Map.of("file", file.toString(), "faults", faults(result)));
    } else if (result instanceof SettingsResult.Invalid invalid) {
      console.err().print(invalid.describe());
    } else {
      console.out().println(file + ": valid");
    }
    return result instanceof SettingsResult.Valid ? ExitCode.SUCCESS : ExitCode.REFUSED;
  }

  private static List<SettingsFault> faults(SettingsResult result) {
    return result instanceof SettingsResult.Invalid invalid ? invalid.faults() : List.of();
  }
}
