package org.fuchsiatrail.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;

import io.netty.handler.ssl.SslContext;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a stale TLS context after a certificate renewal, and against losing TLS while files are damaged. */
class ReloadingTlsContextTest {

    private static final Path RESOURCES = Path.of("src", "test", "resources");

    @TempDir
    private Path directory;

    private Path certificate;
    private Path key;

    @BeforeEach
    void copyFiles() throws IOException {
        certificate = directory.resolve("certificate.pem");
        key = directory.resolve("key.pem");
        copyWithModificationTime(1_000);
    }

    private void copyWithModificationTime(long modifiedAtMillis) throws IOException {
        Files.copy(RESOURCES.resolve("test-certificate.pem"), certificate, StandardCopyOption.REPLACE_EXISTING);
        Files.copy(RESOURCES.resolve("test-key.pem"), key, StandardCopyOption.REPLACE_EXISTING);
        Files.setLastModifiedTime(certificate, FileTime.fromMillis(modifiedAtMillis));
        Files.setLastModifiedTime(key, FileTime.fromMillis(modifiedAtMillis));
    }

    @Test
    void should_reload_the_files_when_they_change() throws IOException {
        ReloadingTlsContext context = new ReloadingTlsContext(certificate, key);
        SslContext first = context.get();
        assertThat(context.get()).isSameAs(first);
        copyWithModificationTime(2_000);
        assertThat(context.get()).isNotSameAs(first);
    }

    @Test
    void should_keep_the_previous_context_when_the_new_files_are_damaged() throws IOException {
        ReloadingTlsContext context = new ReloadingTlsContext(certificate, key);
        SslContext first = context.get();
        Files.writeString(key, "no key");
        Files.setLastModifiedTime(key, FileTime.fromMillis(3_000));
        assertThat(context.get()).isSameAs(first);
        copyWithModificationTime(4_000);
        assertThat(context.get()).isNotSameAs(first);
    }

    @Test
    void should_serve_without_tls_when_no_files_are_set() throws IOException {
        assertThat(ReloadingTlsContext.of("", "")).isNull();
    }
}
