package org.snipewick.settings;

import static java.util.Objects.requireNonNull;

import java.util.List;

/** Result of reading a settings file. */
public sealed interface SettingsResult {

  /**
   * The settings are complete and valid.
   *
   * @param settings settings
   */
  record Valid(Settings settings) implements SettingsResult {

    /** Checks the settings. */
    public Valid {
      requireNonNull(settings, "settings");
    }
  }

  /**
   * The settings can't be used.
   *
   * @param file the file as it was named
   * @param faults everything that is wrong, in order of lines
   */
  record Invalid(String file, List<SettingsFault> faults) implements SettingsResult {

    /** Checks and copies the parts. */
    public Invalid {
      requireNonNull(file, "file");
      faults = List.copyOf(faults);
    }

    /**
     * Describes all faults.
     *
     * @return a line for each fault: file, line, path and what is wrong
     */
    public String describe() {
      StringBuilder text = new StringBuilder();
      for (SettingsFault fault : faults) {
        text.append(file).append(':').append(fault.line()).append(": ");
        if (!fault.path().isEmpty()) {
          text.append(fault.path()).append(": ");
        }
        text.append(fault.message()).append('\n');
      }
      return text.toString();
    }
  }
}
