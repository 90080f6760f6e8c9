"""Developer tools: demonstration, measurements and capacity estimate."""
