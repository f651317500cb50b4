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
 * Form in which the program writes its log to standard output. Lines pass through a buffer of
 * bounded size; one that finds it full is dropped and counted, so that nobody waits for a reader.
 */
public enum LogFormat {
  /** One line of text for people. */
  TEXT {
    @Override
    EncoderBase<ILoggingEvent> encoder() {
      PatternLayoutEncoder encoder = new PatternLayoutEncoder();
      encoder.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg %mdc%n%ex");
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

  /** Nine seconds of the most that {@link Timeline} writes about requests; a power of two. */
  private static final int BUFFER_LINES = 4096;

  /** Ample for a full buffer to be written, and short against the time of a planned stop. */
  private static final Duration CLOSE_TIMEOUT = Duration.buildBySeconds(1);

  private static final String OWN_LOGGER = "org.snipewick";

  abstract EncoderBase<ILoggingEvent> encoder();

  /**
   * Replaces the configuration of the log.
   *
   * @param level lowest level written for the program's own events
   * @return gives the number of lines that were dropped since, as the buffer was full
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
    context.getLogger(OWN_LOGGER).setLevel(Level.toLevel(level.name()));
    return dropped::sum;
  }

  /** Writes the lines that are still buffered and ends the log, for the end of the process. */
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
    buffer.setRingBufferSize(BUFFER_LINES);
    buffer.setShutdownGracePeriod(CLOSE_TIMEOUT);
    buffer.setAddDefaultStatusListener(false);
    buffer.addListener(new DropListener(dropped));
    buffer.addAppender(console);
    buffer.start();
    return buffer;
  }

  /** Counts the lines that the buffer did not take. */
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
