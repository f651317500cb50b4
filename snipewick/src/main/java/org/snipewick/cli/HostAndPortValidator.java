package org.snipewick.cli;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;
import java.net.URI;
import java.net.URISyntaxException;

/** Validates that an address has the form host:port, with a port from 1 to 65535. */
public final class HostAndPortValidator implements IParameterValidator {
  private static final int MAX_PORT = 65_535;

  /** Creates a validator; called by JCommander. */
  public HostAndPortValidator() {}

  @Override
  public void validate(String name, String value) {
    if (!isHostAndPort(value)) {
      throw new ParameterException(
          name + " must be host:port, with a port from 1 to 65535, but is " + value);
    }
  }

  private static boolean isHostAndPort(String value) {
    try {
      URI uri = new URI("http://" + value);
      boolean portInRange = uri.getPort() >= 1 && uri.getPort() <= MAX_PORT;
      return uri.getHost() != null && portInRange && value.equals(uri.getRawAuthority());
    } catch (URISyntaxException malformed) {
      return false;
    }
  }
}
