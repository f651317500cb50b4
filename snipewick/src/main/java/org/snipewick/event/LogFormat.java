package org.snipewick.event;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.EncoderBase;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

/** Form in which the program writes its log to standard error. */
public enum LogFormat {
  /** One line of text for people. */
  TEXT {
    @Override
    EncoderBase<ILoggingEvent> encoder() {
      PatternLayoutEncoder encoder = new PatternLayoutEncoder();
      encoder.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n%ex");
      return encoder;
    }
  },
  /** One JSON object a line for programs. */
  JSON {
    @Override
    EncoderBase<ILoggingEvent> encoder() {
      return new LogstashEncoder();
    }
  };

  private static final String OWN_LOGGER = "org.snipewick";

  abstract EncoderBase<ILoggingEvent> encoder();

  /**
   * Replaces the configuration of the log.
   *
   * @param level lowest level written for the program's own events
   */
  public void apply(LogLevel level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    EncoderBase<ILoggingEvent> encoder = encoder();
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = appender(context, encoder);
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(appender);
    context.getLogger(OWN_LOGGER).setLevel(Level.toLevel(level.name()));
  }

  private static ConsoleAppender<ILoggingEvent> appender(
      LoggerContext context, Encoder<ILoggingEvent> encoder) {
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder);
    appender.start();
    return appender;
  }

  /** Lowest level that is written. */
  public enum LogLevel {
    /** Each step of each request. */
    DEBUG,
    /** Changes of state. */
    INFO,
    /** What an operator should look at. */
    WARN,
    /** Defects. */
    ERROR
  }
}
