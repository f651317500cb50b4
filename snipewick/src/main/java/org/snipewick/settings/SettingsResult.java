package org.snipewick.settings;

import static java.util.Objects.requireNonNull;

import java.util.List;

/** Result of reading a settings file. */
public sealed interface SettingsResult {

  /**
   * Result for a file whose settings are complete and valid.
   *
   * @param settings settings of the file
   */
  record Valid(Settings settings) implements SettingsResult {

    /** Throws {@link NullPointerException} if the settings are null. */
    public Valid {
      requireNonNull(settings, "settings");
    }
  }

  /**
   * Result for a file that cannot be read or is not valid.
   *
   * @param file name of the file, as it was given
   * @param faults all faults, ordered by line
   */
  record Invalid(String file, List<SettingsFault> faults) implements SettingsResult {

    /** Checks the file name and copies the faults. */
    public Invalid {
      requireNonNull(file, "file");
      faults = List.copyOf(faults);
    }

    /**
     * Returns a description of all faults.
     *
     * @return text with one line for each fault: file, line, path and message
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
