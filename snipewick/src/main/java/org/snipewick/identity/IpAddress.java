package org.snipewick.identity;

import static java.util.Objects.requireNonNull;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * Parses IP addresses. Host names are rejected, as resolving one would block the calling thread.
 */
public final class IpAddress {
  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
  private static final Pattern VERSION_4 = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");

  /** The colon keeps the platform's parser from taking the text for a host name. */
  private static final Pattern VERSION_6 = Pattern.compile("[0-9A-Fa-f.]*:[0-9A-Fa-f:.]*");

  private static final int MAX_CHARACTERS = 45;

  private IpAddress() {}

  /**
   * Returns the socket address of an IP address and a port.
   *
   * @param address IP address of version 4 or 6, without brackets
   * @param port port, 0 to 65,535
   * @return socket address, which is resolved
   * @throws IllegalArgumentException if the text is not an IP address or the port is out of range
   */
  public static InetSocketAddress withPort(String address, long port) {
    if (port != (int) port) {
      throw new IllegalArgumentException("port out of range: " + port);
    }
    return new InetSocketAddress(parse(address), (int) port);
  }

  private static InetAddress parse(String address) {
    requireNonNull(address, "address");
    boolean isAddress =
        address.length() <= MAX_CHARACTERS
            && (VERSION_4.matcher(address).matches() || VERSION_6.matcher(address).matches());
    if (!isAddress) {
      throw new IllegalArgumentException("not an IP address");
    }
    try {
      return InetAddress.getByName(address);
    } catch (UnknownHostException malformed) {
      throw new IllegalArgumentException("not an IP address", malformed);
    }
  }
}
