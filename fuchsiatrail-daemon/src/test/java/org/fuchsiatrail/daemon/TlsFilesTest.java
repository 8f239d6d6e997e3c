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

class TlsFilesTest {

    private static final Path RESOURCES = Path.of("src", "test", "resources");

    @TempDir
    private Path folder;

    private Path certificate;
    private Path key;

    @BeforeEach
    void copyFiles() throws IOException {
        certificate = folder.resolve("certificate.pem");
        key = folder.resolve("key.pem");
        copyAt(1_000);
    }

    private void copyAt(long millis) throws IOException {
        Files.copy(RESOURCES.resolve("test-certificate.pem"), certificate, StandardCopyOption.REPLACE_EXISTING);
        Files.copy(RESOURCES.resolve("test-key.pem"), key, StandardCopyOption.REPLACE_EXISTING);
        Files.setLastModifiedTime(certificate, FileTime.fromMillis(millis));
        Files.setLastModifiedTime(key, FileTime.fromMillis(millis));
    }

    @Test
    void should_read_the_files_again_when_they_change() throws IOException {
        TlsFiles files = new TlsFiles(certificate, key);
        SslContext first = files.get();
        assertThat(files.get()).isSameAs(first);
        copyAt(2_000);
        assertThat(files.get()).isNotSameAs(first);
    }

    @Test
    void should_keep_the_old_files_when_the_new_ones_are_damaged() throws IOException {
        TlsFiles files = new TlsFiles(certificate, key);
        SslContext first = files.get();
        Files.writeString(key, "no key");
        Files.setLastModifiedTime(key, FileTime.fromMillis(3_000));
        assertThat(files.get()).isSameAs(first);
        copyAt(4_000);
        assertThat(files.get()).isNotSameAs(first);
    }

    @Test
    void should_serve_without_tls_when_no_files_are_set() throws IOException {
        assertThat(TlsFiles.of("", "")).isNull();
    }
}
