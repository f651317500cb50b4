package org.snipewick.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import org.snipewick.entry.EntryProcess;
import org.snipewick.platform.PlatformStoreAdapter;
import org.snipewick.settings.SettingsReader;
import org.snipewick.settings.SettingsResult;

/** Runs the process of an entry instance until it is stopped. */
@Parameters(commandDescription = "run the process of an entry instance")
final class EntryCommand implements Command {
  @Parameter(names = "--settings", description = "settings file", required = true)
  private Path file;

  @Override
  public ExitCode run(Console console) {
    SettingsResult result = SettingsReader.of().read(file);
    if (result instanceof SettingsResult.Invalid invalid) {
      console.err().print(invalid.describe());
      return ExitCode.REFUSED;
    }
    EntryProcess process =
        EntryProcess.start(((SettingsResult.Valid) result).settings(), PlatformStoreAdapter.of());
    console.out().println("ready entry " + process.callersAddress());
    process.awaitStopped();
    return ExitCode.SUCCESS;
  }
}
