package org.snipewick.event;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.EncoderBase;
import ch.qos.logback.core.util.Duration;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import net.logstash.logback.appender.LoggingEventAsyncDisruptorAppender;
import net.logstash.logback.appender.listener.AppenderListener;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;

/**
 * Format in which the program writes its log to standard output. Lines pass through a bounded
 * buffer; a line is dropped and counted if the buffer is full, so that no thread waits for a slow
 * reader.
 */
public enum LogFormat {
  /** One line of text per event, for people. */
  TEXT {
    @Override
    EncoderBase<ILoggingEvent> encoder() {
      PatternLayoutEncoder encoder = new PatternLayoutEncoder();
      encoder.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg %mdc%n%ex");
      return encoder;
    }
  },
  /** One JSON object per line, for programs. */
  JSON {
    @Override
    EncoderBase<ILoggingEvent> encoder() {
      return new LogstashEncoder();
    }
  };

  /**
   * Holds the lines of nine seconds at the highest rate at which {@link Timeline} writes lines
   * about requests. Must be a power of two.
   */
  private static final int BUFFER_CAPACITY_LINES = 4096;

  /** Suffices to write a full buffer, and is short compared with the duration of a planned stop. */
  private static final Duration CLOSE_TIMEOUT = Duration.buildBySeconds(1);

  private static final String PROGRAM_LOGGER = "org.snipewick";

  abstract EncoderBase<ILoggingEvent> encoder();

  /**
   * Replaces the configuration of the log by one that writes this format.
   *
   * @param level lowest level that is written for the program's own events; for libraries it is
   *     WARN
   * @return supplier of the number of lines dropped since this call because the buffer was full
   */
  public LongSupplier apply(LogLevel level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    EncoderBase<ILoggingEvent> encoder = encoder();
    encoder.setContext(context);
    encoder.start();
    LongAdder dropped = new LongAdder();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(buffered(context, console(context, encoder), dropped));
    context.getLogger(PROGRAM_LOGGER).setLevel(Level.toLevel(level.name()));
    return dropped::sum;
  }

  /** Writes the buffered lines and closes the log; called at the end of the process. */
  public static void close() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
  }

  private static ConsoleAppender<ILoggingEvent> console(
      LoggerContext context, Encoder<ILoggingEvent> encoder) {
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.out");
    appender.setEncoder(encoder);
    appender.start();
    return appender;
  }

  private static Appender<ILoggingEvent> buffered(
      LoggerContext context, Appender<ILoggingEvent> console, LongAdder dropped) {
    LoggingEventAsyncDisruptorAppender buffer = new LoggingEventAsyncDisruptorAppender();
    buffer.setContext(context);
    buffer.setRingBufferSize(BUFFER_CAPACITY_LINES);
    buffer.setShutdownGracePeriod(CLOSE_TIMEOUT);
    buffer.setAddDefaultStatusListener(false);
    buffer.addListener(new DropListener(dropped));
    buffer.addAppender(console);
    buffer.start();
    return buffer;
  }

  /** Counts the lines that were dropped because the buffer was full. */
  private static final class DropListener implements AppenderListener<ILoggingEvent> {
    private final LongAdder dropped;

    DropListener(LongAdder dropped) {
      this.dropped = dropped;
    }

    @Override
    public void eventAppendFailed(
        Appender<ILoggingEvent> appender, ILoggingEvent event, Throwable reason) {
      dropped.increment();
    }
  }

  /** Lowest level that is written. */
  public enum LogLevel {
    /** All steps of each request. */
    DEBUG,
    /** State changes. */
    INFO,
    /** Conditions that an operator should look into. */
    WARN,
    /** Defects of the program. */
    ERROR
  }
}
